//! Admission of requests to a cold backend server.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

use crate::TokenBucket;

/// Instances of a region that send to one cold backend server; two, so that the loss of one does
/// not leave the server idle.
pub const COLD_SENDERS: usize = 2;

/// Part of the allowed rate that the senders use together; the rest covers requests that bunch on
/// their way.
const USED_PART: f64 = 0.8;

/// Admission of one instance's requests to a cold backend server.
///
/// A server counts as cold until a time, and an instance sends to it only if it is one of the few
/// that may.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartLimiter {
    until: MonotonicTime,
    bucket: Option<TokenBucket>,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self {
            until: MonotonicTime(0),
            bucket: None,
        }
    }
}

impl ColdStartLimiter {
    /// Notes that the server is cold for `left`.
    pub fn extend(&mut self, now: MonotonicTime, left: Duration) {
        self.until = self.until.max(now + left);
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.until
    }

    /// Returns the time for which the server stays cold.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.until.since(now)
    }

    /// Returns whether a request may be sent now, where `senders` instances may send `rate`
    /// requests a second together; `sender` says whether this one may.
    pub fn allows(&mut self, now: MonotonicTime, rate: f64, sender: bool, senders: usize) -> bool {
        if rate <= 0.0 || !self.is_cold(now) {
            return true;
        }
        if !sender {
            return false;
        }
        let rate = rate * USED_PART / senders.max(1) as f64;
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::new(now, rate, 1.0, 1.0));
        bucket.set_limits(now, rate, 1.0);
        bucket.holds(1.0)
    }

    /// Counts a request that is sent to a cold server.
    pub fn record_sent(&mut self, now: MonotonicTime) {
        let Some(bucket) = &mut self.bucket else {
            return;
        };
        // `allows` has seen the token, so a refusal here means that the server is warm again.
        let _ = bucket.spend_with_debt(now, 1.0);
    }
}
