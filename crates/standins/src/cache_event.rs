//! Event of a prefix cache.

use serde::{Deserialize, Serialize};

use crate::CacheEventKind;

/// Change of the contents of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, starting at 1; a gap means that events were lost.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// Identifier of the prefix.
    pub prefix: String,
}
