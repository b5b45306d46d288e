//! Capacity grants that an instance holds.

use crate::{DomainName, Map, MonotonicTime, RouteTarget, RoutingGrant};

/// Grants received from other regions, each with its own end.
#[derive(Clone, Debug, Default)]
pub struct RoutingGrants {
    held: Map<(DomainName, RouteTarget), Vec<(u32, MonotonicTime)>>,
}

impl RoutingGrants {
    /// Adds a grant that was asked for at `asked_at`.
    pub fn add(&mut self, grant: RoutingGrant, asked_at: MonotonicTime) {
        let until = asked_at + grant.valid_for;
        let held = self.held.entry((grant.domain, grant.target)).or_default();
        held.retain(|(requests, until)| *requests > 0 && asked_at < *until);
        held.push((grant.requests, until));
    }

    /// Returns how many requests may be forwarded now.
    pub fn available(&self, domain: &DomainName, target: &RouteTarget, now: MonotonicTime) -> u32 {
        let held = self.held.get(&(domain.clone(), target.clone()));
        held.into_iter()
            .flatten()
            .filter(|(_, until)| now < *until)
            .map(|(requests, _)| requests)
            .sum()
    }

    /// Uses the oldest grant for one request; returns whether one allowed that.
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
            .find(|(requests, until)| *requests > 0 && now < *until);
        if let Some((requests, _)) = usable {
            *requests -= 1;
            return true;
        }
        false
    }
}
