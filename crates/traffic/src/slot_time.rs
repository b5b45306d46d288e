//! Mean time that a request occupies a slot of an engine.
//!
//! Pattern: a queue before engines whose requests are shorter or longer than those of another
//! deployment. The wait for a slot is predicted from the mean time in a slot, which depends on the
//! mix of requests: with too long a time, requests are refused that would be in time.

use std::time::Duration;

/// Mean time in a slot before any request has ended, in milliseconds.
const INITIAL_MS: f64 = 1_500.0;

/// Weight of the newest request in the moving average.
const SMOOTHING: f64 = 0.03;

/// Moving average of the time that a request occupies a slot of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct SlotTime {
    mean_ms: f64,
}

impl Default for SlotTime {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MS,
        }
    }
}

impl SlotTime {
    /// Records the time in its slot of a request that has ended.
    pub fn record(&mut self, took: Duration) {
        self.mean_ms += SMOOTHING * (took.as_secs_f64() * 1_000.0 - self.mean_ms);
    }

    /// Returns the mean time in milliseconds.
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
