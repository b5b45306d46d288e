//! Load report of a model engine.

use serde::{Deserialize, Serialize};

/// Answer of a model engine to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Name of the engine.
    pub name: String,
    /// Requests that hold a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Number of slots.
    pub slots: usize,
    /// Tokens in the prefix cache.
    pub kv_used: u64,
    /// Capacity of the prefix cache, in tokens.
    pub kv_capacity: u64,
    /// Speed of the prefill, in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Time between tokens, in milliseconds.
    pub decode_ms: u64,
    /// Whether the engine takes no new requests.
    pub leaving: bool,
    /// Number of the state that the report shows.
    pub sequence: u64,
}
