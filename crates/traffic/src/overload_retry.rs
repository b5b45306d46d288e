//! Time after which a caller may return that an overload turned away.
//!
//! Callers that all return within a second meet the same overload and are turned away for good.
//! One whose answer will be late in any case has the best chance at the end of the time that it can
//! wait before it asks again; the returns are spread over the half before that.

use std::time::Duration;

use crate::stable_hash;

/// Part of the time left that callers wait at most before they ask again.
const LONGEST_WAIT: f64 = 1.0 / 3.0;

/// Start of the spread, as a part of the longest wait.
const EARLIEST: f64 = 0.5;

/// Returns when the caller of the request `id` may ask again, after at least `excess`, the time by
/// which its answer would come too late now.
pub fn overload_retry_after(excess: Duration, time_left: Duration, id: &str) -> Duration {
    let longest = time_left.mul_f64(LONGEST_WAIT);
    let drawn = stable_hash(&[id]) as f64 / u64::MAX as f64;
    let spread = longest.mul_f64(EARLIEST + (1.0 - EARLIEST) * drawn);
    excess.max(spread)
}
