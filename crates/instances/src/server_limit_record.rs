//! Limit of a backend server on the requests of all instances.

/// Limit that a backend server has stated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerLimitRecord {
    /// Identifier of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests per second that it takes from all instances together; absent without a limit.
    #[prost(double, optional, tag = "3")]
    pub per_s: Option<f64>,
    /// Time since the server has stated it, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Whether the sender grants these requests and has none left.
    #[prost(bool, tag = "5")]
    pub is_spent: bool,
}
