//! Capacity grants that an instance holds.

use crate::{DomainName, Map, MonotonicTime, RouteTarget, RoutingGrant};

/// Capacity grants received from domains of other regions, each with its own expiry.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrants {
    /// Remaining requests and expiry of each grant, oldest first.
    held: Map<(DomainName, RouteTarget), Vec<(u32, MonotonicTime)>>,
}

impl RoutingGrants {
    /// Adds a grant that was requested at `requested_at`.
    pub fn add(&mut self, grant: RoutingGrant, requested_at: MonotonicTime) {
        let expires_at = requested_at + grant.valid_for;
        let held = self.held.entry((grant.domain, grant.target)).or_default();
        held.retain(|(requests, expires_at)| *requests > 0 && requested_at < *expires_at);
        held.push((grant.requests, expires_at));
    }

    /// Returns the number of requests that may be forwarded now.
    pub fn available(&self, domain: &DomainName, target: &RouteTarget, now: MonotonicTime) -> u32 {
        let held = self.held.get(&(domain.clone(), target.clone()));
        held.into_iter()
            .flatten()
            .filter(|(_, expires_at)| now < *expires_at)
            .map(|(requests, _)| requests)
            .sum()
    }

    /// Consumes one request of the oldest usable grant; returns whether there was one.
    pub fn try_consume(
        &mut self,
        domain: &DomainName,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> bool {
        let held = self.held.get_mut(&(domain.clone(), target.clone()));
        let usable = held
            .into_iter()
            .flatten()
            .find(|(requests, expires_at)| *requests > 0 && now < *expires_at);
        if let Some((requests, _)) = usable {
            *requests -= 1;
            return true;
        }
        false
    }
}
