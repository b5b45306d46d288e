//! Monotonic clock of the process.

use hawthornquay_decisions::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time of `CLOCK_BOOTTIME`, in microseconds.
///
/// The clock is monotonic and includes the time that the machine was suspended. `Instant` excludes
/// that time, so after a resume an expired loan would still look valid.
pub fn now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    MonotonicTime(seconds * 1_000_000 + nanoseconds / 1_000)
}
