//! Request for a place to run.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, InstanceName, Map, RegionName, ServiceName};

use crate::{Configuration, Work};

/// Request for a place to run, with what decides about it.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Configuration in force.
    pub configuration: &'a Configuration,
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Work that it asks for.
    pub work: &'a Work,
    /// Time to the answer that callers expect.
    pub target_latency: Duration,
    /// Time that is left for the whole answer.
    pub time_left: Duration,
    /// Backend servers that have failed the request already.
    pub excluded_servers: &'a [BackendName],
    /// Name of this instance.
    pub instance: &'a InstanceName,
    /// Instances of the own region, this one included.
    pub region_instances: &'a [InstanceName],
    /// Says whether a failure domain is in the own region.
    pub is_local: &'a dyn Fn(&DomainName) -> bool,
    /// Region of each failure domain.
    pub domain_regions: &'a Map<DomainName, RegionName>,
    /// Regions that may store the prompt.
    pub storage_regions: &'a [RegionName],
}
