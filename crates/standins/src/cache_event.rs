//! Event of a prefix cache.

use serde::{Deserialize, Serialize};

use crate::CacheEventKind;

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, counted from 1; a jump marks lost events.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Identifier of the prefix.
    pub prefix: String,
}
