//! Time as decisions see it.

use std::{ops::Add, time::Duration};

/// Microseconds on a clock of one process that never goes back and counts suspended time.
///
/// Values of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Builds a time from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the time since `earlier`, or zero when `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
