//! Demand of all organisations over the fleet.

use hawthornquay_decisions::{Map, OrganisationId};

/// Demand of all organisations over the fleet, as an instance knows it.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Instances that may admit requests.
    pub instances: usize,
    /// Whether the demand of every region with instances is known and recent.
    pub complete: bool,
    /// Tokens a second.
    pub totals: Map<OrganisationId, f64>,
}
