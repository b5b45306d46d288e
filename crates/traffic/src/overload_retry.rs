//! Retry delay for callers that are refused because of an overload or a pause of the servers.
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

/// Shortest time over which the returns after a pause of the servers are spread.
const MIN_PAUSE_SPREAD: Duration = Duration::from_secs(2);

/// Time over which the returns after a pause are spread, as a share of the pause.
const PAUSE_SPREAD_SHARE: f64 = 0.25;

/// Returns the delay after which the caller may retry the request `id`, if all servers take no requests
/// for `pause`. A hash of `id` spreads the returns, so that they do not all come as the pause ends.
pub fn pause_retry_after(pause: Duration, id: &str) -> Duration {
    let spread = pause.mul_f64(PAUSE_SPREAD_SHARE).max(MIN_PAUSE_SPREAD);
    pause + spread.mul_f64(hash_fraction(id))
}

/// Returns the delay after which the caller may retry the request `id`.
///
/// `excess` is the time by which the response would exceed its latency target now; the delay is
/// never shorter. `time_left` is the time until the deadline. A hash of `id` spreads the delays of
/// different requests.
pub fn overload_retry_after(excess: Duration, time_left: Duration, id: &str) -> Duration {
    let longest = time_left.mul_f64(MAX_DELAY_SHARE);
    let delay = longest.mul_f64(MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * hash_fraction(id));
    excess.max(delay)
}

/// Returns a hash of `id` from 0 to 1.
fn hash_fraction(id: &str) -> f64 {
    stable_hash(&[id]) as f64 / u64::MAX as f64
}
