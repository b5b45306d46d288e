//! Load of a service in one region.

/// Load of a service in one region.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceLoad {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of backend servers that accept new requests.
    #[prost(uint32, tag = "2")]
    pub servers: u32,
    /// Number of free slots of these servers: requests that they could run in addition.
    #[prost(uint32, tag = "3")]
    pub free_slots: u32,
    /// Expected queueing time of a new request at the least loaded of them, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// Share of the requests at instances of the region that are to go to other regions, in
    /// thousandths.
    #[prost(uint32, tag = "5")]
    pub offload_permille: u32,
    /// Mean time between two events of the streams of its backend servers, converted to the pace 1, in
    /// microseconds; zero if unknown.
    #[prost(uint32, tag = "6")]
    pub event_interval_us: u32,
}
