//! Load of a backend server, as reported by the instance that polls it.

use hawthornquay_decisions::GossipLoad;

/// Load of a backend server, as reported by the instance that polls it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendLoad {
    /// Backend server name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Requests that can run at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Sequence of the server's report.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether the server takes no new work.
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
