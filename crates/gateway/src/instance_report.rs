//! Last status report of another instance of the same region.

use hawthornquay_decisions::{Map, MonotonicTime, OrganisationId, ServiceName};
use hawthornquay_traffic::{Admissions, ServerUsage};

/// Last status report of another instance of the same region.
#[derive(Clone, Debug, Default)]
pub struct InstanceReport {
    /// Time at which the report arrived.
    pub received_at: MonotonicTime,
    /// Demand of each organisation in tokens per second.
    pub demands: Map<OrganisationId, f64>,
    /// Requests and tokens in progress at each backend server.
    pub usage: Vec<ServerUsage>,
    /// Requests that servers of each service accepted and rejected since the leader last took them
    /// into account.
    pub admissions: Map<ServiceName, Admissions>,
}
