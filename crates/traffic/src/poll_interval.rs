//! Which instances read the store.

use std::time::Duration;

use hawthornquay_decisions::{InstanceName, RegionName};

use crate::InstanceList;

/// Age of a view at which the first instance of a region reads the store.
const FIRST: Duration = Duration::from_millis(700);

/// Age at which the second reads it; the first has failed to tell it for one round.
const SECOND: Duration = Duration::from_millis(1_300);

/// Further age for each instance after that, so that they do not all read at once.
const STEP: Duration = Duration::from_millis(150);

/// Oldest age for any instance, to keep within the bounds for changes.
const LAST: Duration = Duration::from_millis(2_000);

/// Returns the place of an instance among those of its region by name, from zero.
pub fn rank_in_region(list: &InstanceList, region: &RegionName, name: &InstanceName) -> usize {
    list.active_in(region)
        .filter(|instance| instance.id.name < *name)
        .count()
}

/// Returns the age of its view at which an instance of this rank reads the store itself.
///
/// The first of each region reads for all and tells them; the others read when they hear nothing,
/// so the loss of the reader or of its way to the store delays them by little.
pub fn poll_interval(rank: usize) -> Duration {
    match u32::try_from(rank).unwrap_or(u32::MAX) {
        0 => FIRST,
        rank => (SECOND + STEP * (rank - 1).min(16)).min(LAST),
    }
}
