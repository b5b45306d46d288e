//! Backend server in the store's list.

/// Backend server in the store's list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerRecord {
    /// Identifier, which is new at most starts of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service name.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Time for which it stays slow after its start, at the time of the listing.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// Unix time of its start in milliseconds; zero if unknown.
    #[prost(uint64, tag = "8")]
    pub started_ms: u64,
}
