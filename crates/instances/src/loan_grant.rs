//! Loan of a part of an organisation's limit; all zero when nothing is lent.

/// Loan of a part of an organisation's limit; all zero when nothing is lent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Lent rate in total, in millitokens per second.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// Lent capacity in total, in nanotokens.
    #[prost(uint64, tag = "3")]
    pub capacity: u64,
    /// Level debited for this loan, in nanotokens.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Time after which the lender could lend, in milliseconds, if it lent nothing; zero if unknown.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}
