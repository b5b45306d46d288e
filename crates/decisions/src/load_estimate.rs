//! Estimated load of a backend server or domain.

/// Estimated current load of a server or domain: its last report, corrected by the requests sent
/// since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Time until a new request starts, in seconds.
    pub queue_seconds: f64,
    /// Prompt tokens that one server processes per second; zero for plain services.
    pub prefill_tokens_per_s: f64,
    /// Requests that it runs or queues.
    pub occupied: f64,
    /// Requests that it should run concurrently; fewer than reported during a slow start.
    pub slots: f64,
    /// Free capacity of its KV cache, in tokens; `None` if it reports no KV cache.
    pub kv_free_tokens: Option<u64>,
}

impl LoadEstimate {
    /// Returns whether the number of requests in the server's queue is at least one and at least an
    /// eighth of the number of its slots.
    ///
    /// The short queue at the server keeps it busy while the next request is in transit. Further
    /// requests wait in the gateway, whose queue is fair between organisations.
    pub fn is_full(&self) -> bool {
        self.occupied >= self.slots + (self.slots / 8.0).max(1.0)
    }

    /// Returns the time to the first token in seconds, without network latency.
    pub fn first_token_seconds(&self, prompt_tokens: u64, cached_tokens: u64) -> f64 {
        if self.prefill_tokens_per_s <= 0.0 {
            return self.queue_seconds;
        }
        let prefill = prompt_tokens.saturating_sub(cached_tokens) as f64;
        self.queue_seconds + prefill / self.prefill_tokens_per_s
    }
}
