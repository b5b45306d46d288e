//! Load of a backend server in gossip.

use crate::BackendName;

/// Load report of a backend server, as the instance that polls it passes it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipLoad {
    /// Backend server.
    pub backend: BackendName,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Sequence that the backend server gave the report.
    pub sequence: u64,
    /// Whether the server takes no new work.
    pub leaving: bool,
}
