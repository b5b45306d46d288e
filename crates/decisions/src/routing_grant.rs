//! Capacity grant of a domain to another region.

use std::time::Duration;

use crate::{DomainName, RouteTarget};

/// Grant of capacity: permission to forward a number of requests to a domain of another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingGrant {
    /// Domain that issued the grant.
    pub domain: DomainName,
    /// Target of the requests.
    pub target: RouteTarget,
    /// Number of requests that may be forwarded.
    pub requests: u32,
    /// Time for which the grant is valid, counted by the holder from when it requested the grant.
    pub valid_for: Duration,
}
