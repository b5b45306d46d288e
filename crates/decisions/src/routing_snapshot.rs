//! State of an instance that a routing decision depends on.

use std::time::Duration;

use crate::{Bundle, LoadView, MonotonicTime, PrefixMap, RoutingGrants, RoutingLocation};

/// State of the instance that decides, at the time of the decision.
#[derive(Clone, Copy, Debug)]
pub struct RoutingSnapshot<'a> {
    /// Configuration in force.
    pub bundle: &'a Bundle,
    /// Estimated load of servers and domains.
    pub view: &'a LoadView,
    /// Prompt prefixes in the caches of the engines.
    pub prefixes: &'a PrefixMap,
    /// Capacity grants received from other regions.
    pub grants: &'a RoutingGrants,
    /// Region and failure domain of the instance.
    pub location: &'a RoutingLocation,
    /// Estimated time that the request would wait in the instance's own queue.
    pub queue_wait: Duration,
    /// Time of the decision.
    pub now: MonotonicTime,
}
