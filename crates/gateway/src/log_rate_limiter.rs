//! Rate limit of log lines.

use hawthornquay_decisions::MonotonicTime;
use hawthornquay_traffic::TokenBucket;
use parking_lot::Mutex;

/// Lines per second: twice the peak request rate of one instance in the largest fleet.
const LINES_PER_S: f64 = 150.0;

/// Lines that may be written in a burst.
const BURST_LINES: f64 = 300.0;

struct State {
    bucket: TokenBucket,
    suppressed: u64,
}

/// Rate limit of log lines of one kind, which counts the suppressed lines.
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
    /// Admits one line; returns the number of lines suppressed since the last admitted one, or
    /// `None` if this line is suppressed.
    pub fn admit_line(&self, now: MonotonicTime) -> Option<u64> {
        let mut state = self.0.lock();
        if state.bucket.spend_with_debt(now, 1.0).is_err() {
            state.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut state.suppressed))
    }
}
