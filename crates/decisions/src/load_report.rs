//! Load report of a backend server.

use serde::{Deserialize, Serialize};

/// Load that a backend server reports; it lags behind the server's current state.
///
/// Plain services omit the fields that apply only to model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name that the server reports for itself.
    #[serde(default)]
    pub name: String,
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait in its queue.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that it can run concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Number of servers that the report covers; more than one in the summary of a domain.
    #[serde(default = "one_server")]
    pub servers: u32,
    /// Used capacity of its KV cache, in tokens.
    #[serde(default)]
    pub kv_used: u64,
    /// Capacity of its KV cache, in tokens; zero if it has none.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Prompt tokens that it processes per second; zero if not reported.
    #[serde(default)]
    pub prefill_tokens_per_s: f64,
    /// Time between two generated tokens, in milliseconds; zero if not reported.
    #[serde(default)]
    pub decode_ms: f64,
    /// Whether it is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Sequence number of the report; increases with each report until the server restarts.
    pub sequence: u64,
}

const fn one_server() -> u32 {
    1
}

/// Returns the slots assumed for a server that reports none, such as a plain service.
const fn default_slots() -> u32 {
    64
}
