//! Health of a backend server, derived from its responses.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Weight of the newest request in the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.15;

/// First backoff after a backend server was unreachable, about one server heartbeat interval.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff, within which a server that has recovered is tried again.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);

/// Time in which the failure ratio halves without new requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(3_000);

/// Failure of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// It could not be reached, or closed the connection before it received the request.
    Unreachable,
    /// It closed or reset the connection after it had received the request.
    Interrupted,
    /// Its response was an error, was malformed or did not arrive in time.
    BadResponse,
}

/// Health of a backend server, derived from its responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    /// Moving average of failed requests at `updated`, from 0 to 1.
    failures: f64,
    updated: MonotonicTime,
    /// Number of consecutive attempts that did not reach the server.
    unreachable_attempts: u32,
    backoff_until: MonotonicTime,
}

impl ServerHealth {
    /// Records a successful response, which ends the backoff.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.decay(now);
        self.failures *= 1.0 - FAILURE_SMOOTHING;
        self.unreachable_attempts = 0;
        self.backoff_until = MonotonicTime(0);
    }

    /// Records a failure; an unreachable server enters backoff, which doubles each time.
    pub fn record_failure(&mut self, now: MonotonicTime, failure: ServerFailure) {
        self.decay(now);
        self.failures += FAILURE_SMOOTHING * (1.0 - self.failures);
        if failure != ServerFailure::Unreachable {
            return;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.unreachable_attempts.min(8));
        self.unreachable_attempts += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns whether the server is in backoff and gets no requests.
    pub fn in_backoff(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Returns whether the server was unreachable and has not responded successfully since.
    pub const fn was_unreachable(&self) -> bool {
        self.unreachable_attempts > 0
    }

    /// Returns the ratio of recent requests that failed, from 0 to 1.
    pub fn failure_ratio(&self, now: MonotonicTime) -> f64 {
        self.failures * self.decay_factor(now)
    }

    fn decay_factor(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.updated).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        (-halvings).exp2()
    }

    fn decay(&mut self, now: MonotonicTime) {
        self.failures *= self.decay_factor(now);
        self.updated = self.updated.max(now);
    }
}
