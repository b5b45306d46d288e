//! Monotonic time.

use std::{ops::Add, time::Duration};

/// Microseconds on a monotonic clock that also advances while the machine is suspended.
///
/// Each process has its own clock, so times of different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time `ms` milliseconds after the origin of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
