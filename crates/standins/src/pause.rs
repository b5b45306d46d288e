//! Pauses that cost nothing if they are over already.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Waits until `at`, or lets other tasks run if that is past.
///
/// tokio rounds deadlines up to whole milliseconds, so even a past one could cost one; a
/// comparison of latencies would show that.
pub(crate) async fn pause_until(at: Instant) {
    if at > Instant::now() {
        sleep_until(at).await;
    } else {
        // Without a pause, hyper would collect the tokens of a stream instead of sending each.
        tokio::task::yield_now().await;
    }
}

/// Waits for `time`.
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
