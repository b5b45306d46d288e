//! Retry delay for callers that are refused because of an overload.
//!
//! Callers that all retry within a second meet the same overload and fail for good. A caller whose
//! response will be late in any case has the best chance if it retries as late as it can afford.
//! The retries are therefore spread over the second half of the longest delay.

use std::time::Duration;

use crate::stable_hash;

/// Longest retry delay, as a share of the time left until the deadline.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Shortest retry delay, as a share of the longest one.
const MIN_DELAY_SHARE: f64 = 0.5;

/// Returns the delay after which the caller may retry the request `id`.
///
/// `excess` is the time by which the response would exceed its target now. The delay is at least
/// that long, and otherwise derived from a hash of the request identifier.
pub fn overload_retry_after(excess: Duration, time_left: Duration, id: &str) -> Duration {
    let longest = time_left.mul_f64(MAX_DELAY_SHARE);
    let fraction = stable_hash(&[id]) as f64 / u64::MAX as f64;
    let delay = longest.mul_f64(MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * fraction);
    excess.max(delay)
}
