//! State of a region.

use hawthornquay_decisions::{Map, OrganisationId, ServiceName};

use crate::ServiceReport;

/// State of a region, as an observer in it reports it.
#[derive(Clone, Debug, Default)]
pub struct RegionReport {
    /// Demand of each organisation in tokens a second.
    pub demands: Map<OrganisationId, f64>,
    /// Load of each service.
    pub services: Map<ServiceName, ServiceReport>,
}
