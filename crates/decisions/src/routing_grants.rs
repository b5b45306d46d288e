//! Capacity grants that an instance holds.

use crate::{DomainName, Map, MonotonicTime, RouteTarget, RoutingGrant};

/// Grants received from other regions.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrants {
    held: Map<(DomainName, RouteTarget), (u32, MonotonicTime)>,
}

impl RoutingGrants {
    /// Takes a grant that was asked for at `asked_at`; it replaces the one held before.
    pub fn accept(&mut self, grant: RoutingGrant, asked_at: MonotonicTime) {
        self.held.insert(
            (grant.domain, grant.target),
            (grant.requests, asked_at + grant.valid_for),
        );
    }

    /// Returns how many requests may be forwarded now.
    pub fn available(&self, domain: &DomainName, target: &RouteTarget, now: MonotonicTime) -> u32 {
        match self.held.get(&(domain.clone(), target.clone())) {
            Some((requests, until)) if now < *until => *requests,
            _ => 0,
        }
    }

    /// Uses the grant for one request; returns whether it allowed that.
    pub fn spend(&mut self, domain: &DomainName, target: &RouteTarget, now: MonotonicTime) -> bool {
        match self.held.get_mut(&(domain.clone(), target.clone())) {
            Some((requests, until)) if now < *until && *requests > 0 => {
                *requests -= 1;
                true
            }
            _ => false,
        }
    }
}
