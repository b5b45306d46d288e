//! Health of a backend server, as its answers show it.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Weight of the newest request in the share of failures.
const SMOOTHING: f64 = 0.15;

/// First pause after a backend server could not be reached; about one heartbeat of a listing.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause; a server that returns is tried again within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(4_000);

/// Time after which the share of failures has halved without new requests.
const FORGET: Duration = Duration::from_millis(3_000);

/// Failure of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// It could not be reached, or reset or silenced the connection.
    Unreachable,
    /// It answered with a failure or with a broken answer.
    BadResponse,
}

/// Health of a backend server, as its answers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: f64,
    updated: MonotonicTime,
    unreachable: u32,
    paused_until: MonotonicTime,
}

impl ServerHealth {
    /// Counts a good answer.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.decay(now);
        self.failures *= 1.0 - SMOOTHING;
        self.unreachable = 0;
        self.paused_until = MonotonicTime(0);
    }

    /// Counts a failure.
    pub fn record_failure(&mut self, now: MonotonicTime, failure: ServerFailure) {
        self.decay(now);
        self.failures += SMOOTHING * (1.0 - self.failures);
        if failure == ServerFailure::BadResponse {
            return;
        }
        let doubled = FIRST_PAUSE * 2_u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.paused_until = now + doubled.min(LONGEST_PAUSE);
    }

    /// Returns whether the server gets no requests for now.
    pub fn in_backoff(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Returns whether the last contact failed.
    pub const fn last_contact_failed(&self) -> bool {
        self.unreachable > 0
    }

    /// Returns the recent share of failed requests, from 0 to 1.
    pub fn failure_ratio(&self, now: MonotonicTime) -> f64 {
        self.failures * self.remaining(now)
    }

    fn remaining(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.updated).as_secs_f64() / FORGET.as_secs_f64();
        (-halvings).exp2()
    }

    fn decay(&mut self, now: MonotonicTime) {
        self.failures *= self.remaining(now);
        self.updated = self.updated.max(now);
    }
}
