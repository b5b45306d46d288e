//! Request that passed the checks of the entry instance.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{MonotonicTime, OrganisationId, RegionName, RequestId, ServiceName};
use hawthornquay_traffic::{Configuration, Route, Work};
use http::{HeaderMap, Method};

/// Request that passed routing, authentication and rate limits and is to be run.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// Request identifier, chosen by the caller.
    pub id: RequestId,
    /// Organisation that sent the request; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Service of the route that was chosen for the request.
    pub service: ServiceName,
    /// Configuration with which the request was admitted.
    pub configuration: Arc<Configuration>,
    /// Regions that may process the request.
    pub allowed: Vec<RegionName>,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers of the caller that are forwarded to backend servers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Work that the caller declared, in tokens; zero if it declared none.
    pub work: Work,
    /// Largest number of attempts that may reach a backend server.
    pub max_attempts: u32,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Number of the last event that the caller has received of the stream.
    pub last_event: Option<u64>,
    /// Time at which the request arrived at this instance.
    pub arrived_at: MonotonicTime,
    /// Time by which the response has to be complete.
    pub deadline: MonotonicTime,
    /// Whether another instance forwarded the request.
    pub forwarded: bool,
    /// Whether the request has returned after a refusal, and capacity was promised for it.
    pub has_returned: bool,
}

impl AdmittedRequest {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.since(now)
    }
}

/// Returns the regions in which a request may run: the home regions that its route and its
/// organisation have in common. An empty list of home regions allows all regions.
pub fn allowed_regions(
    all: &[RegionName],
    route: &[RegionName],
    organisation: &[RegionName],
) -> Vec<RegionName> {
    all.iter()
        .filter(|name| route.is_empty() || route.contains(name))
        .filter(|name| organisation.is_empty() || organisation.contains(name))
        .cloned()
        .collect()
}
