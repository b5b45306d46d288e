//! Loan of a part of an organisation's limit; all zero when nothing is lent.

/// Loan of a part of an organisation's limit; all zero when nothing is lent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// Lent rate, in thousandths of a token per second.
    #[prost(uint64, tag = "1")]
    pub rate: u64,
    /// Lent burst, in thousandths of a token.
    #[prost(uint64, tag = "2")]
    pub burst: u64,
    /// Lent level, in thousandths of a token.
    #[prost(uint64, tag = "3")]
    pub level: u64,
    /// Duration, which the borrower counts from when it sent the request.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
    /// Version of the split that the lender has adopted.
    #[prost(uint64, tag = "5")]
    pub split_version: u64,
    /// Time after which the lender expects to have more; zero when unknown.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
}
