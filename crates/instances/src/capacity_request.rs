//! Request for permission to send work to another region.

/// Request for permission to send work to another region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapacityRequest {
    /// Model name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Failure domain that would run the work.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Requests that the sender would send.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Prompt and output tokens of these requests.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
}
