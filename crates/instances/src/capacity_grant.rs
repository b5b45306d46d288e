//! Permission to send work to another region; all zero when refused.

/// Permission to send work to another region; all zero when refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapacityGrant {
    /// Requests that may be sent.
    #[prost(uint32, tag = "1")]
    pub requests: u32,
    /// Prompt and output tokens that may be sent.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Duration, which the borrower counts from when it sent the request.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}
