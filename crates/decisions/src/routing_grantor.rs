//! Capacity grants that an instance gives.

use std::time::Duration;

use crate::{DomainName, InstanceId, LoadReport, Map, MonotonicTime, RouteTarget, RoutingGrant};

const VALID_FOR: Duration = Duration::from_secs(2);
/// Time beyond the grant during which a forwarded request may still be on its way.
const TRANSIT: Duration = Duration::from_millis(500);
/// Part of the free slots that other regions may take; the rest absorbs the home region's bursts.
const FREE_SHARE: f64 = 0.5;

/// Grants given to instances of other regions and not used yet.
///
/// One instance of a domain grants for each target, so that the free slots are given out once.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrantor {
    given: Map<(InstanceId, RouteTarget), (u32, MonotonicTime)>,
}

impl RoutingGrantor {
    /// Grants at most `wanted` requests, out of the free slots in the domain's summary.
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
        self.given.retain(|_, (_, until)| now < *until);
        let key = (requester.clone(), target.clone());
        // A new grant replaces the requester's old one, which may still be spent on its way here.
        let old = self.given.remove(&key).map_or(0, |(requests, _)| requests);
        let busy = summary.running + summary.waiting;
        let free = f64::from(summary.slots.saturating_sub(busy)) * FREE_SHARE;
        let left = (free as u32).saturating_sub(self.outstanding(target) + old);
        let requests = wanted.min(left.div_ceil(2));
        if requests + old > 0 {
            let until = now + VALID_FOR + TRANSIT;
            self.given.insert(key, (requests + old, until));
        }
        RoutingGrant {
            domain: domain.clone(),
            target: target.clone(),
            requests,
            valid_for: VALID_FOR,
        }
    }

    /// Records the arrival of a request under a grant; returns whether one was left.
    pub fn arrived(&mut self, requester: &InstanceId, target: &RouteTarget) -> bool {
        match self.given.get_mut(&(requester.clone(), target.clone())) {
            Some((requests, _)) if *requests > 0 => {
                *requests -= 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the requests granted for a target and not arrived yet.
    pub fn outstanding(&self, target: &RouteTarget) -> u32 {
        self.given
            .iter()
            .filter(|((_, granted), _)| granted == target)
            .map(|(_, (requests, _))| requests)
            .sum()
    }
}
