//! Message with the load of a backend server.

use hawthornquay_decisions::GossipLoad;

/// Load report of a backend server, distributed by the instance that polls the server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendLoad {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of running requests.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Number of queued requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Sequence number that the backend server assigned to the report.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether the server is leaving and accepts no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

impl From<&GossipLoad> for BackendLoad {
    fn from(load: &GossipLoad) -> Self {
        Self {
            name: load.backend.to_string(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            sequence: load.sequence,
            leaving: load.leaving,
        }
    }
}

impl From<BackendLoad> for GossipLoad {
    fn from(load: BackendLoad) -> Self {
        Self {
            backend: load.name.into(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            sequence: load.sequence,
            leaving: load.leaving,
        }
    }
}
