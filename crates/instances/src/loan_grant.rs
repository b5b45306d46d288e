//! Reply to a loan request.

/// Loan of a part of an organisation's limit; rate, capacity and level are zero if refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Rate that the borrower now holds from this lender in total, in millitokens per second.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// Bucket capacity that the borrower now holds from this lender in total, in nanotokens.
    #[prost(uint64, tag = "3")]
    pub capacity: u64,
    /// Amount withdrawn from the lender's bucket for this loan, in nanotokens.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Time after which a refused request may succeed, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}
