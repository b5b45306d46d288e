//! Token demand of all organisations across the fleet.

use hawthornquay_decisions::{Map, OrganisationId};

/// Token demand of all organisations across the fleet, as reported to this instance.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Number of instances that may admit requests.
    pub instances: usize,
    /// Whether every region with instances has sent a recent report.
    pub complete: bool,
    /// Demand of each organisation, in tokens per second.
    pub totals: Map<OrganisationId, f64>,
}
