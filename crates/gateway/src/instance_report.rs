//! Last status report of another instance of the same region.

use hawthornquay_decisions::{Map, MonotonicTime, OrganisationId};
use hawthornquay_traffic::ServerUsage;

/// Last status report of another instance of the same region.
#[derive(Clone, Debug, Default)]
pub struct InstanceReport {
    /// Time at which the report arrived.
    pub received_at: MonotonicTime,
    /// Demand of each organisation in tokens per second.
    pub demands: Map<OrganisationId, f64>,
    /// Requests and tokens in progress at each backend server.
    pub usage: Vec<ServerUsage>,
}
