//! Rate of calls.

use tokio::time::Instant;

/// Token bucket that holds at most the calls of one second.
#[derive(Debug)]
pub(crate) struct CallRate {
    per_second: f64,
    level: f64,
    updated_at: Instant,
}

impl CallRate {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            level: per_second,
            updated_at: now,
        }
    }

    /// Takes one call out, if there is one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let gained = (now - self.updated_at).as_secs_f64() * self.per_second;
        self.level = (self.level + gained).min(self.per_second);
        self.updated_at = now;
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}
