//! Estimated load of a server.

/// Load of a server now: its last report, corrected by what was sent since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Time until a new request starts, in seconds.
    pub queue_seconds: f64,
    /// Prompt tokens that one server processes in a second; zero for plain services.
    pub prefill_tokens_per_s: f64,
    /// Requests that it holds.
    pub occupied: f64,
    /// Requests that it should run at once.
    pub slots: f64,
    /// Tokens that its KV cache can still hold; none if it reports no KV cache.
    pub kv_free_tokens: Option<u64>,
}

impl LoadEstimate {
    /// Returns whether a new request would wait behind others for longer than a short while.
    ///
    /// A short queue at the server keeps it busy while the next request is on its way; the rest
    /// waits in the gateway, where organisations share fairly.
    pub fn is_full(&self) -> bool {
        self.occupied >= self.slots + (self.slots / 8.0).max(1.0)
    }

    /// Returns the time to the first token without the path, in seconds.
    pub fn first_token_seconds(&self, prompt_tokens: u64, cached_tokens: u64) -> f64 {
        if self.prefill_tokens_per_s <= 0.0 {
            return self.queue_seconds;
        }
        let prefill = prompt_tokens.saturating_sub(cached_tokens) as f64;
        self.queue_seconds + prefill / self.prefill_tokens_per_s
    }
}
