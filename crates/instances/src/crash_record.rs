//! Crash of a backend server.

/// Crash of a backend server, with the prompt parts of the requests that it had not begun to
/// answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashRecord {
    /// Identifier of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// IP address and port of the backend server.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Time since the first of the requests failed, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Parts of the requests.
    #[prost(fixed64, repeated, packed = "true", tag = "4")]
    pub parts: Vec<u64>,
}
