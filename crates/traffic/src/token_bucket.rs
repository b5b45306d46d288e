//! Token bucket.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Part of the capacity that allows any cost.
const DEBT_LEVEL: f64 = 0.5;

/// Token bucket whose rate and capacity may change.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// Builds a bucket that holds `level` of `capacity` tokens and gains `rate` a second.
    pub const fn new(now: MonotonicTime, rate: f64, capacity: f64, level: f64) -> Self {
        Self {
            rate,
            capacity,
            level,
            updated: now,
        }
    }

    /// Changes the rate and the capacity; what the bucket holds over its capacity is lost.
    pub fn set_limits(&mut self, now: MonotonicTime, rate: f64, capacity: f64) {
        self.accrue(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Spends `cost` tokens.
    ///
    /// A cost above half the capacity needs only a bucket that is half full, and may leave a debt:
    /// shares of a fleet are often smaller than one request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket would allow it.
    pub fn spend_with_debt(&mut self, now: MonotonicTime, cost: f64) -> Result<(), Duration> {
        self.take(now, cost, cost.min(self.capacity * DEBT_LEVEL))
    }

    /// Spends `cost` tokens only if the bucket holds them all.
    ///
    /// # Errors
    ///
    /// Returns the time after which the bucket would hold them, were its capacity larger.
    pub fn spend_available(&mut self, now: MonotonicTime, cost: f64) -> Result<(), Duration> {
        self.take(now, cost, cost)
    }

    fn take(&mut self, now: MonotonicTime, cost: f64, needed: f64) -> Result<(), Duration> {
        self.accrue(now);
        if self.level + f64::EPSILON >= needed {
            self.level -= cost;
            return Ok(());
        }
        if self.rate <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::from_secs_f64((needed - self.level) / self.rate))
    }

    /// Returns whether the bucket held `tokens` when it was last used.
    pub const fn holds(&self, tokens: f64) -> bool {
        self.level >= tokens
    }

    /// Gives back tokens that were spent but not used.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    fn accrue(&mut self, now: MonotonicTime) {
        let gained = now.since(self.updated).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
