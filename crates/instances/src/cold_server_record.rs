//! Statement of a backend server that it is cold.

/// Process of a backend server that has stated to the sender that it is cold.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ColdServerRecord {
    /// Identifier of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Time for which it stays cold, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub cold_ms: u64,
}
