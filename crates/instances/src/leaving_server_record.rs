//! Announcement of a backend server that it is leaving.

/// Process of a backend server that has announced in an answer that it is leaving.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingServerRecord {
    /// Identifier of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}
