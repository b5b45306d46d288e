//! Request to borrow a part of an organisation's limit.

/// Request to borrow a part of an organisation's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// Organisation identifier.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Failure domain of the borrower.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Number that rises with each request of the borrower's incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Wanted rate in total, in millitokens per second.
    #[prost(uint64, tag = "4")]
    pub rate: u64,
    /// Wanted capacity in total, in nanotokens.
    #[prost(uint64, tag = "5")]
    pub capacity: u64,
    /// Wanted level in addition, in nanotokens.
    #[prost(uint64, tag = "6")]
    pub level: u64,
    /// Time of the loan, which the borrower counts from when it sent the request.
    #[prost(uint64, tag = "7")]
    pub duration_ms: u64,
}
