//! Work that instances have sent to a backend server.

/// Work that instances have sent to a backend server and that has not ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerUse {
    /// Identifier of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens of the requests that have no answer yet.
    #[prost(uint64, tag = "3")]
    pub pending_tokens: u64,
}
