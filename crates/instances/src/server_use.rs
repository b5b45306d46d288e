//! Requests in flight at a backend server.

/// Requests that instances have sent to a backend server and that have not ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerUse {
    /// Identifier of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number of these requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Total prompt tokens of those requests that have no response yet.
    #[prost(uint64, tag = "3")]
    pub pending_tokens: u64,
}
