//! Sleeping without the timer's rounding for times that have already passed.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Sleeps until `at`, or yields to other tasks if `at` has passed.
///
/// tokio rounds deadlines up to whole milliseconds, so sleeping until a time in the past could take
/// up to 1 ms, which would distort comparisons of latencies.
pub(crate) async fn pause_until(at: Instant) {
    if at > Instant::now() {
        sleep_until(at).await;
    } else {
        // Without yielding, hyper would buffer the tokens of a stream instead of sending each one.
        tokio::task::yield_now().await;
    }
}

/// Sleeps for `time`; returns at once if it is zero.
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
