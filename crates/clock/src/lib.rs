//! Clock of the process.

use hawthornquay_decisions::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock that never goes back and counts suspended time.
///
/// `Instant` stops while the machine is suspended, so a lapsed loan would look valid on resuming.
pub fn now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    MonotonicTime(seconds * 1_000_000 + nanoseconds / 1_000)
}
