//! Limit on the requests to a backend server that is warming up.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

use crate::TokenBucket;

/// Maximum number of instances of a region that send to the same cold backend server. With two, the
/// server still gets requests when one of these instances fails.
pub const MAX_COLD_SENDERS: usize = 2;

/// Share of a cold server's maximum request rate that the senders use together. The rest covers
/// requests that arrive closer together than they were sent.
const COLD_RATE_UTILISATION: f64 = 0.8;

/// Time after a request to a warm server until this instance sends to it as a cold one. What was sent
/// before the server was known to be cold counts in the same second.
const PAUSE_AFTER_WARM_REQUEST: Duration = Duration::from_secs(1);

/// Limit on the requests that this instance sends to one backend server while the server is cold.
///
/// A server is cold while it warms up after its start. Only `MAX_COLD_SENDERS` instances of a
/// region send to it, each at its part of the allowed rate.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartLimiter {
    cold_until: MonotonicTime,
    /// Time until which the server is taken for a cold one because it is not known to be warm.
    assumed_until: MonotonicTime,
    /// Time before which this instance sends nothing to the server while it is cold.
    paused_until: MonotonicTime,
    bucket: Option<TokenBucket>,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self {
            cold_until: MonotonicTime(0),
            assumed_until: MonotonicTime(0),
            paused_until: MonotonicTime(0),
            bucket: None,
        }
    }
}

impl ColdStartLimiter {
    /// Marks the server as cold for at least `remaining` from `now`.
    pub fn extend(&mut self, now: MonotonicTime, remaining: Duration) {
        if remaining.is_zero() {
            return;
        }
        self.cold_until = self.cold_until.max(now + remaining);
    }

    /// Takes the server for a cold one at least until `until`, unless it states before that it is warm.
    pub fn assume_until(&mut self, until: MonotonicTime) {
        self.assumed_until = self.assumed_until.max(until);
    }

    /// Ends the assumption that the server is cold, because it has stated its state itself.
    pub fn end_assumption(&mut self) {
        self.assumed_until = MonotonicTime(0);
    }

    /// Returns whether the server is cold, or taken for a cold one.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until.max(self.assumed_until)
    }

    /// Returns the end of the time for which the server was last known to be cold, or zero if it never
    /// was.
    pub(crate) const fn known_until(&self) -> MonotonicTime {
        self.cold_until
    }

    /// Returns the remaining time for which the server is known to be cold.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.cold_until.since(now)
    }

    /// Returns whether this instance may send a request now.
    ///
    /// `rate` is the number of requests per second that a cold server accepts in total, zero for no
    /// limit. `senders` instances share it, and `sender` says whether this instance is one of them.
    pub fn allows(&mut self, now: MonotonicTime, rate: f64, sender: bool, senders: usize) -> bool {
        if rate <= 0.0 {
            self.bucket = None;
            return true;
        }
        if !self.is_cold(now) {
            return true;
        }
        if !sender || now < self.paused_until {
            return false;
        }
        let rate = rate * COLD_RATE_UTILISATION / senders.max(1) as f64;
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::new(now, rate, 1.0, 1.0));
        bucket.set_limits(now, rate, 1.0);
        bucket.holds(1.0)
    }

    /// Returns whether a request may still be sent for which the server was chosen earlier; `was_cold` says
    /// whether it was cold then.
    pub fn still_allows(&mut self, now: MonotonicTime, was_cold: bool) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let bucket = self.bucket.as_mut();
        was_cold && bucket.is_none_or(|bucket| bucket.time_to(now, 1.0).is_none())
    }

    /// Records a request that is sent to the server.
    pub fn record_sent(&mut self, now: MonotonicTime) {
        if !self.is_cold(now) {
            self.paused_until = now + PAUSE_AFTER_WARM_REQUEST;
            return;
        }
        let Some(bucket) = &mut self.bucket else {
            return;
        };
        // `allows` has checked for a token, unless the server was warm at that time. The request is
        // sent in either case.
        let _ = bucket.spend_with_debt(now, 1.0);
    }
}
