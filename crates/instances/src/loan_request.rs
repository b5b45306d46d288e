//! Request to borrow a part of an organisation's limit.

/// Request to borrow a part of an organisation's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// Organisation identifier.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Failure domain of the slot.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Slot of the organisation in that domain.
    #[prost(uint32, tag = "3")]
    pub slot: u32,
    /// Wanted rate, in thousandths of a token per second.
    #[prost(uint64, tag = "4")]
    pub rate: u64,
    /// Wanted burst, in thousandths of a token.
    #[prost(uint64, tag = "5")]
    pub burst: u64,
    /// Wanted level, in thousandths of a token.
    #[prost(uint64, tag = "6")]
    pub level: u64,
    /// Wanted duration.
    #[prost(uint64, tag = "7")]
    pub duration_ms: u64,
}
