//! Request that is to be placed.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, InstanceName, Map, RegionName, ServiceName};

use crate::{Configuration, Work};

/// Request that is to be placed, with the state that the decision depends on.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Configuration in force.
    pub configuration: &'a Configuration,
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Token counts and prompt parts.
    pub work: &'a Work,
    /// Latency target of its route.
    pub target_latency: Duration,
    /// Longest gap between two events of its stream with which the response is on time; `None` if it
    /// is no stream.
    pub target_event_gap: Option<Duration>,
    /// Priority of its route; zero is the most urgent. That of its organisation may be another one.
    pub route_priority: u8,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Backend servers that have failed the request before.
    pub excluded_servers: &'a [BackendName],
    /// Name of this instance.
    pub instance: &'a InstanceName,
    /// Instances of the local region, this one included.
    pub region_instances: &'a [InstanceName],
    /// Whether the instances of the region know each other. Only then may this instance send to cold
    /// servers.
    pub is_region_settled: bool,
    /// Whether other instances may be asked for permits to send to limited servers.
    pub may_ask_permits: bool,
    /// Whether this instance may grant permits itself.
    pub may_grant_permits: bool,
    /// Returns whether a failure domain is in the local region.
    pub is_local: &'a dyn Fn(&DomainName) -> bool,
    /// Region of each failure domain.
    pub domain_regions: &'a Map<DomainName, RegionName>,
    /// Regions that may store the prompt, and from which its cached parts may be copied.
    pub storage_regions: &'a [RegionName],
    /// Time that the region's engines take to prefill prompts for which capacity is reserved.
    pub reserved_latency: Duration,
    /// Whether the request has returned to a promise of capacity, so that only its deadline counts.
    pub is_returning: bool,
}
