//! Reply to a capacity request.

/// Load of a failure domain and permission to send requests there; all fields are zero if refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapacityGrant {
    /// Number of requests that the borrower may send.
    #[prost(uint32, tag = "1")]
    pub requests: u32,
    /// Validity of the grant in milliseconds, from the time at which the borrower sent its request.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Number of requests running in the domain.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of requests queued in the domain.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Number of requests that can run concurrently in the domain.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Number of backend servers in these totals.
    #[prost(uint32, tag = "6")]
    pub servers: u32,
    /// Prompt tokens that one server processes per second.
    #[prost(double, tag = "7")]
    pub prefill_tokens_per_s: f64,
    /// Time between two generated tokens, in milliseconds.
    #[prost(double, tag = "8")]
    pub decode_ms: f64,
}
