//! Load report of a backend server.

use serde::{Deserialize, Serialize};

/// Load that a backend server reports, which lags behind its state.
///
/// Plain services leave out the fields that concern only model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name that the server gives itself.
    #[serde(default)]
    pub name: String,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Servers that the report covers; the summary of a domain covers several.
    #[serde(default = "one_server")]
    pub servers: u32,
    /// Tokens held in its KV cache.
    #[serde(default)]
    pub kv_used: u64,
    /// Tokens that its KV cache can hold.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Prompt tokens that it processes in a second.
    #[serde(default)]
    pub prefill_tokens_per_s: f64,
    /// Time between two generated tokens, in milliseconds.
    #[serde(default)]
    pub decode_ms: f64,
    /// Whether it is about to stop and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Number of the report; grows with each report of one run of the server.
    pub sequence: u64,
}

const fn one_server() -> u32 {
    1
}

/// Slots assumed for a plain service, which reports none.
const fn default_slots() -> u32 {
    64
}
