//! Counters of a model engine.

use serde::{Deserialize, Serialize};

/// Counters of a model engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests that were assigned a slot.
    pub started: u64,
    /// Requests whose answer was generated completely.
    pub completed: u64,
    /// Requests that ended early: cancelled by id, client disconnected, or aborted by a fault.
    pub cancelled: u64,
    /// Requests refused before they were queued.
    pub refused: u64,
    /// Requests with an `Authorization` header; a gateway must not forward this header.
    pub keys_seen: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}
