//! Interval at which an instance reads the store.
//!
//! An instance's view is its local copy of the store's data. The age of the view is the time since
//! it was last known to be current.

use std::time::Duration;

/// Age of its view at which the leader of a region reads the store.
const FIRST_RANK_AGE: Duration = Duration::from_millis(700);

/// Age of its view at which the second instance reads the store; by then, one update from the
/// first instance is missing.
const SECOND_RANK_AGE: Duration = Duration::from_millis(1_300);

/// Additional age for each further rank, so that the instances do not all read at the same time.
const AGE_STEP: Duration = Duration::from_millis(150);

/// Maximum age for any rank, so that changes in the store take effect within the required time.
const MAX_AGE: Duration = Duration::from_millis(2_000);

/// Returns the age of its view at which an instance of this leadership rank reads the store itself.
///
/// The first instance of each region reads the store and sends updates to the others. The others
/// read the store only if no update arrives, so the failure of the first instance, or of its
/// connection to the store, delays them only a little.
pub fn poll_interval(rank: usize) -> Duration {
    match u32::try_from(rank).unwrap_or(u32::MAX) {
        0 => FIRST_RANK_AGE,
        rank => (SECOND_RANK_AGE + AGE_STEP * (rank - 1).min(16)).min(MAX_AGE),
    }
}
