//! Load report of a backend server in gossip.

use crate::BackendName;

/// Load report of a backend server, distributed by the instance that polls the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipLoad {
    /// Backend server that the report describes.
    pub backend: BackendName,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Sequence number that the backend server assigned to the report.
    pub sequence: u64,
    /// Whether the server is leaving and accepts no new requests.
    pub leaving: bool,
}
