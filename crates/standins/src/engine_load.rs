//! Load report of a model engine.

use serde::{Deserialize, Serialize};

/// Load of a model engine; body of the response to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Name of the engine.
    pub name: String,
    /// Number of requests that hold a slot.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Number of slots.
    pub slots: usize,
    /// Used capacity of the prefix cache, in tokens.
    pub kv_used: u64,
    /// Capacity of the prefix cache, in tokens.
    pub kv_capacity: u64,
    /// Prefill throughput, in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens of an answer, in milliseconds.
    pub decode_ms: u64,
    /// Whether the engine is about to stop and refuses new requests.
    pub leaving: bool,
    /// Sequence number of the report; 0 in a load that was not read as a report.
    pub sequence: u64,
}
