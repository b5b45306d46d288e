//! Request that was admitted.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{MonotonicTime, OrganisationId, RegionName, RequestId, ServiceName};
use hawthornquay_traffic::{Configuration, Route, Work};
use http::{HeaderMap, Method};

/// Request that was admitted and is to be run.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// Identifier that the caller gave it.
    pub id: RequestId,
    /// Organisation that it runs for; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Route.
    pub route: Arc<Route>,
    /// Service that it goes to.
    pub service: ServiceName,
    /// Configuration that decided about it.
    pub configuration: Arc<Configuration>,
    /// Regions that may run and carry it.
    pub allowed: Vec<RegionName>,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers of the caller that a backend server may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Work that it asks for.
    pub work: Work,
    /// Backend servers that may run it.
    pub max_attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Number of the last event that the caller has of the stream.
    pub last_event: Option<u64>,
    /// Time of its arrival.
    pub arrived_at: MonotonicTime,
    /// Time by which it has to be answered.
    pub deadline: MonotonicTime,
    /// Whether another instance passed it on.
    pub forwarded: bool,
}

impl AdmittedRequest {
    /// Returns the time that is left for the answer.
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        self.deadline.since(now)
    }
}

/// Returns the regions in which a request may run: those that are homes of both its route and its
/// organisation, where they have any.
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
