//! State on which a routing decision rests.

use std::time::Duration;

use crate::{Bundle, LoadView, MonotonicTime, PrefixMap, RoutingGrants, RoutingLocation};

/// State of the deciding instance.
#[derive(Clone, Copy, Debug)]
pub struct RoutingSnapshot<'a> {
    /// Configuration in force.
    pub bundle: &'a Bundle,
    /// Load of servers and domains.
    pub view: &'a LoadView,
    /// Prefix caches of engines.
    pub prefixes: &'a PrefixMap,
    /// Capacity that other regions granted.
    pub grants: &'a RoutingGrants,
    /// Place of the instance.
    pub location: &'a RoutingLocation,
    /// Time that the request would wait in the instance's own queue.
    pub queue_wait: Duration,
    /// Time of the decision.
    pub now: MonotonicTime,
}
