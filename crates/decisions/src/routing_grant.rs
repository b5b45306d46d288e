//! Capacity that a domain grants to another region.

use std::time::Duration;

use crate::{DomainName, RouteTarget};

/// Permission to forward a number of requests to a domain of another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingGrant {
    /// Domain that grants.
    pub domain: DomainName,
    /// Target that the requests are meant for.
    pub target: RouteTarget,
    /// Requests that may be forwarded.
    pub requests: u32,
    /// Time for which the grant holds, counted by the holder from its own request.
    pub valid_for: Duration,
}
