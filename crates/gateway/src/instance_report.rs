//! Last report of an instance of the own region.

use hawthornquay_decisions::{Map, MonotonicTime, OrganisationId};
use hawthornquay_traffic::ServerUseRow;

/// Last report of an instance of the own region.
#[derive(Clone, Debug, Default)]
pub struct InstanceReport {
    /// Time at which it arrived.
    pub received_at: MonotonicTime,
    /// Demand of each organisation in tokens a second.
    pub demands: Map<OrganisationId, f64>,
    /// Work at backend servers.
    pub uses: Vec<ServerUseRow>,
}
