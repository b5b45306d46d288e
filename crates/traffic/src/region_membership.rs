//! Knowledge of this instance about who else is in its region.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Time from the first list that contains this instance until all instances of the region know each
/// other: the leader reads the list once a second and passes changes on at once.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Age from which the list of instances may lack changes that the others know.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);

/// How long this instance has been in the list of instances, and how old its list is.
///
/// Requests to cold servers are shared out among the instances of a region without messages. Each
/// instance decides by its own list, so it may take part only if the others count it in and it counts
/// the others in.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionMembership {
    /// Time since which each list has contained this instance.
    listed_since: Option<MonotonicTime>,
    /// Time at which the list was last known to be current.
    confirmed_at: Option<MonotonicTime>,
}

impl RegionMembership {
    /// Records a list of instances; `is_listed` says whether it contains this instance.
    pub fn record_list(&mut self, now: MonotonicTime, is_listed: bool) {
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        self.confirmed_at = Some(now);
    }

    /// Records that another instance of the region has the same list.
    pub fn confirm_list(&mut self, now: MonotonicTime) {
        if self.confirmed_at.is_some() {
            self.confirmed_at = Some(now);
        }
    }

    /// Returns whether the instances of the region know each other, as far as this one can tell.
    pub fn is_settled(&self, now: MonotonicTime) -> bool {
        let is_current = self
            .confirmed_at
            .is_some_and(|at| now.since(at) <= MAX_LIST_AGE);
        let is_known = self
            .listed_since
            .is_some_and(|at| now.since(at) >= SETTLING_TIME);
        is_current && is_known
    }
}
