//! Bound on the lines of a log.

use hawthornquay_decisions::MonotonicTime;
use hawthornquay_traffic::TokenBucket;
use parking_lot::Mutex;

/// Lines a second; twice the requests that one instance of the largest fleet gets at its peak.
const LINES_PER_S: f64 = 150.0;

/// Lines that may be written at once.
const BURST_LINES: f64 = 300.0;

struct State {
    bucket: TokenBucket,
    suppressed: u64,
}

/// Bound on the lines of one kind, with the number of those left out.
pub struct LogRateLimiter(Mutex<State>);

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self(Mutex::new(State {
            bucket: TokenBucket::new(MonotonicTime(0), LINES_PER_S, BURST_LINES, BURST_LINES),
            suppressed: 0,
        }))
    }
}

impl LogRateLimiter {
    /// Takes one line; returns how many were left out before it, or `None` if it is left out too.
    pub fn admit_line(&self, now: MonotonicTime) -> Option<u64> {
        let mut state = self.0.lock();
        if state.bucket.spend(now, 1.0).is_err() {
            state.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut state.suppressed))
    }
}
