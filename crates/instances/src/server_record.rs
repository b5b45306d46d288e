//! Entry of the list of backend servers.

/// Entry of the store's list of backend servers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerRecord {
    /// Identifier of the server; it changes at most restarts of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address of the server.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Failure domain of the server.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Number of requests that it can run concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Remaining cold-start time, during which the server is slow, at the time of the listing, in
    /// milliseconds.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// Unix time of its start, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
}
