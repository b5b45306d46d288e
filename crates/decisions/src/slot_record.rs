//! Stored record of one slot.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Holder of a slot in one failure domain, and the split that the holder has confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Process that holds the slot.
    pub holder: InstanceId,
    /// Bundle version whose split of the limits between failure domains the holder has confirmed.
    pub split: u64,
    /// Address at which other instances reach the holder; records of earlier builds lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}
