//! Rate of calls.

use tokio::time::Instant;

/// Token bucket that holds at most the calls of one second.
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

    /// Takes one call out, if there is one.
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
