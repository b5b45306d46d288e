//! Entry of a gossip digest.

use crate::{GossipLoad, InstanceId};

/// State of one member, as last received by the sender of the digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipEntry {
    /// Process that the entry describes.
    pub id: InstanceId,
    /// Counter that the process increments every second.
    pub heartbeat: u64,
    /// Version of the bundle in force on the process.
    pub bundle_version: u64,
    /// Whether the process is leaving and accepts no new requests.
    pub leaving: bool,
    /// Load reports of the backend servers that the process polls.
    pub loads: Vec<GossipLoad>,
}

impl GossipEntry {
    /// Returns the entry of a process that has just started.
    pub const fn new(id: InstanceId) -> Self {
        Self {
            id,
            heartbeat: 0,
            bundle_version: 0,
            leaving: false,
            loads: Vec::new(),
        }
    }
}
