//! Crash of a backend server.

/// Crash of a backend server, with the prompt parts of the requests whose answers had not begun or not run
/// for long.
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
    /// Stage, for each of the parts, that a later answer has to reach to clear it; empty from a sender
    /// that knows only answers that had not begun.
    #[prost(uint32, repeated, packed = "true", tag = "5")]
    pub stages: Vec<u32>,
}
