//! Counters of a model engine.

use serde::{Deserialize, Serialize};

/// What a model engine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Requests that took a slot.
    pub started: u64,
    /// Requests generated to their end.
    pub completed: u64,
    /// Requests that ended early, by order or because the client disconnected.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that carried an `Authorization` header, which no gateway may pass on.
    pub keys_seen: u64,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}
