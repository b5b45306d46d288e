//! Holder of one slot.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Holder of a slot, and the split that it has confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Process that holds the slot.
    pub holder: InstanceId,
    /// Bundle version whose split the holder has adopted.
    pub split: u64,
    /// Address of the holder for other instances; entries of earlier builds lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}
