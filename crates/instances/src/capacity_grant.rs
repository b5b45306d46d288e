//! Load of a failure domain and permission to send work there.

/// Load of a failure domain and permission to send work there; all zero when refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapacityGrant {
    /// Requests that may be sent.
    #[prost(uint32, tag = "1")]
    pub requests: u32,
    /// Duration, which the borrower counts from when it sent the request.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Requests that run in the domain.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait in the domain.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Requests that can run at once in the domain.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Backend servers that the figures cover.
    #[prost(uint32, tag = "6")]
    pub servers: u32,
    /// Prompt tokens that one server processes in a second.
    #[prost(double, tag = "7")]
    pub prefill_tokens_per_s: f64,
    /// Time between two generated tokens, in milliseconds.
    #[prost(double, tag = "8")]
    pub decode_ms: f64,
}
