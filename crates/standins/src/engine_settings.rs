//! Settings of a model engine.

use std::time::Duration;

/// Settings of a model engine; the fields are set before it starts.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name in load reports.
    pub name: String,
    /// Models loaded at start.
    pub models: Vec<String>,
    /// Requests generated at once.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused with 503.
    pub queue_limit: usize,
    /// Speed of the prefill, in tokens per second, shared by all requests.
    pub prefill_tokens_per_s: u64,
    /// Time between the tokens of one answer, in milliseconds.
    pub decode_ms: u64,
    /// Memory of the prefix cache, in tokens.
    pub kv_capacity: u64,
    /// Delay until a cache event can be read.
    pub event_delay: Duration,
    /// Every how many-th cache event is lost; 0 loses none.
    pub event_gap_every: u64,
    /// Age of the state that `GET /load` reports.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time until an order has taken effect.
    pub order_delay: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            models: vec!["ledger-7b".to_owned()],
            slots: 8,
            queue_limit: 1024,
            prefill_tokens_per_s: 20_000,
            decode_ms: 5,
            kv_capacity: 65_536,
            event_delay: Duration::from_millis(50),
            event_gap_every: 0,
            load_lag: Duration::from_millis(100),
            checks_fencing: true,
            order_delay: Duration::from_millis(100),
        }
    }
}
