//! One member in a digest.

use crate::{GossipLoad, InstanceId};

/// State of one member as the sender of a digest knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipEntry {
    /// Process that the entry describes.
    pub id: InstanceId,
    /// Counter that the process raises each second.
    pub heartbeat: u64,
    /// Bundle version in force there.
    pub bundle_version: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Backend servers that it polls.
    pub loads: Vec<GossipLoad>,
}

impl GossipEntry {
    /// Describes a process that has just started.
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
