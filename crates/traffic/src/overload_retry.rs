//! Retry delay for callers that are refused because of an overload.
//!
//! If all callers retry within a second, the overload still lasts and their requests fail. A
//! request that will miss its latency target in any case is most likely to succeed if it is retried
//! as late as its deadline allows. The retries are therefore spread over the second half of the
//! longest delay.

use std::time::Duration;

use crate::stable_hash;

/// Longest retry delay, as a share of the time left until the deadline.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Shortest retry delay, as a share of the longest one.
const MIN_DELAY_SHARE: f64 = 0.5;

/// Returns the delay after which the caller may retry the request `id`.
///
/// `excess` is the time by which the response would exceed its latency target now; the delay is
/// never shorter. `time_left` is the time until the deadline. A hash of `id` spreads the delays of
/// different requests.
pub fn overload_retry_after(excess: Duration, time_left: Duration, id: &str) -> Duration {
    let longest = time_left.mul_f64(MAX_DELAY_SHARE);
    let fraction = stable_hash(&[id]) as f64 / u64::MAX as f64;
    let delay = longest.mul_f64(MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * fraction);
    excess.max(delay)
}
