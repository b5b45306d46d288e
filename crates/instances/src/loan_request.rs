//! Request to borrow a part of an organisation's limit.

/// Request to borrow a part of an organisation's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// Identifier of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Failure domain of the borrower.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Sequence number, which increases with each request of the borrower's incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Requested rate in total, in millitokens per second.
    #[prost(uint64, tag = "4")]
    pub rate: u64,
    /// Requested bucket capacity in total, in nanotokens.
    #[prost(uint64, tag = "5")]
    pub capacity: u64,
    /// Requested amount in addition to earlier loans, in nanotokens.
    #[prost(uint64, tag = "6")]
    pub level: u64,
    /// Duration of the loan in milliseconds, from the time at which the borrower sent the request.
    #[prost(uint64, tag = "7")]
    pub duration_ms: u64,
    /// Whether the tokens are for the borrower's own pool; the lender then gives only what it does
    /// not need.
    #[prost(bool, tag = "8")]
    pub transfer: bool,
}
