//! Load of a service in one region.

/// Load of a service in one region.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceLoad {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Backend servers that take new requests.
    #[prost(uint32, tag = "2")]
    pub servers: u32,
    /// Requests that these servers can run at once and do not run now.
    #[prost(uint32, tag = "3")]
    pub free_slots: u32,
    /// Expected wait of a new request at the best of them, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
}
