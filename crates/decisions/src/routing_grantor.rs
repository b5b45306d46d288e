//! Capacity grants that an instance issues.

use std::time::Duration;

use crate::{DomainName, InstanceId, LoadReport, MonotonicTime, RouteTarget, RoutingGrant};

const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// Time after the expiry of a grant during which a request forwarded under it may still arrive.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time after which the load reports include a request that arrived under a grant.
const REPORTED_AFTER: Duration = Duration::from_millis(1_500);
/// Share of the free slots that is granted to other regions; the rest absorbs bursts in the region
/// of the domain.
const GRANTABLE_SHARE_OF_FREE_SLOTS: f64 = 0.9;

/// Capacity grants issued to instances of other regions.
///
/// For each target, only one instance of a domain issues grants, so that no free slot is granted
/// twice.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrantor {
    issued: Vec<IssuedGrant>,
}

/// Unused part of a grant, or a request that arrived under one.
#[derive(Clone, Debug)]
struct IssuedGrant {
    /// Instance that holds the grant; `None` for a request that has arrived but is not yet included
    /// in the load reports.
    holder: Option<InstanceId>,
    target: RouteTarget,
    requests: u32,
    expires_at: MonotonicTime,
}

impl RoutingGrantor {
    /// Issues a grant of at most `wanted` requests, from the free slots in the summary of the
    /// domain.
    ///
    /// A requester is granted at most half of the remaining slots, rounded up, so that the first
    /// requester does not get all of them.
    pub fn grant(
        &mut self,
        requester: &InstanceId,
        domain: &DomainName,
        target: &RouteTarget,
        wanted: u32,
        summary: &LoadReport,
        now: MonotonicTime,
    ) -> RoutingGrant {
        let occupied = summary.running + summary.waiting;
        let free =
            f64::from(summary.slots.saturating_sub(occupied)) * GRANTABLE_SHARE_OF_FREE_SLOTS;
        let left = (free as u32).saturating_sub(self.outstanding_requests(target, now));
        let requests = wanted.min(left.div_ceil(2));
        if requests > 0 {
            self.issued.push(IssuedGrant {
                holder: Some(requester.clone()),
                target: target.clone(),
                requests,
                expires_at: now + GRANT_LIFETIME + TRANSIT_ALLOWANCE,
            });
        }
        RoutingGrant {
            domain: domain.clone(),
            target: target.clone(),
            requests,
            valid_for: GRANT_LIFETIME,
        }
    }

    /// Records the arrival of a forwarded request; returns whether a grant covered it.
    pub fn record_arrival(
        &mut self,
        requester: &InstanceId,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> bool {
        let grant = self.issued.iter_mut().find(|grant| {
            grant.holder.as_ref() == Some(requester)
                && grant.target == *target
                && grant.requests > 0
                && now < grant.expires_at
        });
        let Some(grant) = grant else {
            return false;
        };
        grant.requests -= 1;
        self.issued.push(IssuedGrant {
            holder: None,
            target: target.clone(),
            requests: 1,
            expires_at: now + REPORTED_AFTER,
        });
        true
    }

    /// Returns the number of granted requests of a target that the load reports do not include yet.
    pub fn outstanding_requests(&mut self, target: &RouteTarget, now: MonotonicTime) -> u32 {
        self.issued
            .retain(|grant| grant.requests > 0 && now < grant.expires_at);
        self.issued
            .iter()
            .filter(|grant| grant.target == *target)
            .map(|grant| grant.requests)
            .sum()
    }
}
