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

/// Age of the list of instances at which the second instance of a region reads it. The leader reads it
/// once a second and confirms it with each status notice.
const SECOND_RANK_INSTANCES_AGE: Duration = Duration::from_millis(2_000);

/// Additional age of the list of instances for each further rank.
const INSTANCES_AGE_STEP: Duration = Duration::from_millis(50);

/// Maximum age of the list of instances for any rank. A lost instance is listed until its registration
/// expires, and may be named to callers for `contact-ms` and 3 s.
const MAX_INSTANCES_AGE: Duration = Duration::from_millis(2_500);

/// Returns the age of its list of instances at which an instance of this leadership rank, other than
/// the leader, reads the list itself.
///
/// It does not depend on who leads: the leader may be lost together with all that come next.
pub fn instances_poll_interval(rank: usize) -> Duration {
    let steps = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
    let further = INSTANCES_AGE_STEP.saturating_mul(steps);
    SECOND_RANK_INSTANCES_AGE
        .saturating_add(further)
        .min(MAX_INSTANCES_AGE)
}
