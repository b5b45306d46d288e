//! Capacity grants that an instance gives.

use std::time::Duration;

use crate::{DomainName, InstanceId, LoadReport, MonotonicTime, RouteTarget, RoutingGrant};

const VALID_FOR: Duration = Duration::from_secs(2);
/// Time beyond the grant during which a forwarded request may still be on its way.
const TRANSIT: Duration = Duration::from_millis(500);
/// Time until the load reports contain a request that arrived under a grant.
const SEEN_AFTER: Duration = Duration::from_millis(1_500);
/// Part of the free slots that other regions may take; the rest absorbs the home region's bursts.
const FREE_SHARE: f64 = 0.9;

/// Grants given to instances of other regions.
///
/// One instance of a domain grants for each target, so that the free slots are given out once.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrantor {
    given: Vec<Given>,
}

#[derive(Clone, Debug)]
struct Given {
    /// Holder; none for requests that arrived and are not in the reports yet.
    holder: Option<InstanceId>,
    target: RouteTarget,
    requests: u32,
    until: MonotonicTime,
}

impl RoutingGrantor {
    /// Grants at most `wanted` further requests, out of the free slots in the domain's summary.
    ///
    /// A requester gets at most half of what is left, so that the first does not take all.
    pub fn grant(
        &mut self,
        requester: &InstanceId,
        domain: &DomainName,
        target: &RouteTarget,
        wanted: u32,
        summary: &LoadReport,
        now: MonotonicTime,
    ) -> RoutingGrant {
        let busy = summary.running + summary.waiting;
        let free = f64::from(summary.slots.saturating_sub(busy)) * FREE_SHARE;
        let left = (free as u32).saturating_sub(self.outstanding_requests(target, now));
        let requests = wanted.min(left.div_ceil(2));
        if requests > 0 {
            self.given.push(Given {
                holder: Some(requester.clone()),
                target: target.clone(),
                requests,
                until: now + VALID_FOR + TRANSIT,
            });
        }
        RoutingGrant {
            domain: domain.clone(),
            target: target.clone(),
            requests,
            valid_for: VALID_FOR,
        }
    }

    /// Records the arrival of a request under a grant; returns whether one was left.
    pub fn record_arrival(
        &mut self,
        requester: &InstanceId,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> bool {
        let given = self.given.iter_mut().find(|given| {
            given.holder.as_ref() == Some(requester)
                && given.target == *target
                && given.requests > 0
                && now < given.until
        });
        let Some(given) = given else {
            return false;
        };
        given.requests -= 1;
        self.given.push(Given {
            holder: None,
            target: target.clone(),
            requests: 1,
            until: now + SEEN_AFTER,
        });
        true
    }

    /// Returns the granted requests of a target that the load reports do not contain yet.
    pub fn outstanding_requests(&mut self, target: &RouteTarget, now: MonotonicTime) -> u32 {
        self.given
            .retain(|given| given.requests > 0 && now < given.until);
        self.given
            .iter()
            .filter(|given| given.target == *target)
            .map(|given| given.requests)
            .sum()
    }
}
