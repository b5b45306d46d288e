//! Settings of a model engine.

use std::time::Duration;

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the engine in load reports.
    pub name: String,
    /// Names of the models that are loaded at start.
    pub models: Vec<String>,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; others are refused with status 503.
    pub queue_limit: usize,
    /// Prefill throughput shared by all requests, in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens of an answer, in milliseconds.
    pub decode_ms: u64,
    /// Capacity of the prefix cache, in tokens.
    pub kv_capacity: u64,
    /// Time after which a cache event can be read.
    pub event_delay: Duration,
    /// Interval between lost cache events: every n-th event is lost; 0 disables losses.
    pub event_gap_every: u64,
    /// Age of the load that `GET /load` returns.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time from the acceptance of an order until it takes effect.
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
