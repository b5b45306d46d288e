//! Demand and load of a region.

use hawthornquay_decisions::{Map, OrganisationId, ServiceName};

use crate::ServiceReport;

/// Demand and load of a region, as its leader reports them.
#[derive(Clone, Debug, Default)]
pub struct RegionReport {
    /// Demand of each organisation, in tokens per second.
    pub demands: Map<OrganisationId, f64>,
    /// Load of each service.
    pub services: Map<ServiceName, ServiceReport>,
}
