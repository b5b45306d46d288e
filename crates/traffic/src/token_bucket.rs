//! Token bucket that may go into debt.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Minimum level, as a share of the capacity, at which a larger cost may put the bucket into debt.
const MIN_LEVEL_FOR_DEBT: f64 = 0.5;

/// Token bucket whose rate and capacity can be changed.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    rate: f64,
    capacity: f64,
    /// Available tokens; negative while the bucket is in debt.
    level: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// Builds a bucket with `level` of `capacity` tokens, refilled at `rate` tokens per second.
    pub const fn new(now: MonotonicTime, rate: f64, capacity: f64, level: f64) -> Self {
        Self {
            rate,
            capacity,
            level,
            updated: now,
        }
    }

    /// Changes the rate and the capacity; tokens above the new capacity are discarded.
    pub fn set_limits(&mut self, now: MonotonicTime, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Spends `cost` tokens, and goes into debt if necessary.
    ///
    /// A cost above half the capacity requires only half the capacity to be available, because one
    /// instance's share of a rate is often smaller than a single request.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are available, or [`Duration::MAX`] if the rate is
    /// zero.
    pub fn spend_with_debt(&mut self, now: MonotonicTime, cost: f64) -> Result<(), Duration> {
        self.spend(now, cost, cost.min(self.capacity * MIN_LEVEL_FOR_DEBT))
    }

    /// Spends `cost` tokens if all of them are available.
    ///
    /// # Errors
    ///
    /// Returns the time until `cost` tokens would be available if the capacity were unlimited, or
    /// [`Duration::MAX`] if the rate is zero.
    pub fn spend_available(&mut self, now: MonotonicTime, cost: f64) -> Result<(), Duration> {
        self.spend(now, cost, cost)
    }

    fn spend(&mut self, now: MonotonicTime, cost: f64, required: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.level + f64::EPSILON >= required {
            self.level -= cost;
            return Ok(());
        }
        if self.rate <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::from_secs_f64((required - self.level) / self.rate))
    }

    /// Returns whether `tokens` were available when the bucket was last refilled.
    pub const fn holds(&self, tokens: f64) -> bool {
        self.level >= tokens
    }

    /// Returns the time until `tokens` are available, [`Duration::MAX`] if the rate is zero, or `None` if
    /// they are available now.
    pub fn time_to(&mut self, now: MonotonicTime, tokens: f64) -> Option<Duration> {
        self.spend(now, 0.0, tokens).err()
    }

    /// Returns the available tokens as a share of the capacity; negative while the bucket is in debt.
    pub fn fill_share(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Returns the maximum number of available tokens.
    pub const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Adds unused tokens back to the bucket, up to its capacity.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let refilled = now.since(self.updated).as_secs_f64() * self.rate;
        self.level = (self.level + refilled).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
