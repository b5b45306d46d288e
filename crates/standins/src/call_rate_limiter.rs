//! Limit of the rate of calls.

use tokio::time::Instant;

/// Token bucket with a capacity of one second's calls.
#[derive(Debug)]
pub(crate) struct CallRateLimiter {
    calls_per_s: f64,
    level: f64,
    updated_at: Instant,
}

impl CallRateLimiter {
    pub(crate) fn new(calls_per_s: u32, now: Instant) -> Self {
        let calls_per_s = f64::from(calls_per_s);
        Self {
            calls_per_s,
            level: calls_per_s,
            updated_at: now,
        }
    }

    /// Takes one token; returns false if less than one is left.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let accrued = (now - self.updated_at).as_secs_f64() * self.calls_per_s;
        self.level = (self.level + accrued).min(self.calls_per_s);
        self.updated_at = now;
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}
