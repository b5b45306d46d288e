//! Route from host and path to services.

use std::time::Duration;

use hawthornquay_decisions::{RegionName, ServiceName};

use crate::{ExecutionSemantics, stable_hash};

/// Route from host and path to services, with its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, which identifies the route in forwarded requests and log lines.
    pub name: String,
    /// Host of the request, in lowercase.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// How often requests may run, and whether responses are streams.
    pub semantics: ExecutionSemantics,
    /// Maximum duration of a request, from its arrival.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Maximum number of backend servers that may run the same request.
    pub max_attempts: u32,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Services with their weights in the traffic split.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether requests are accepted without an API key.
    pub open: bool,
    /// Regions that may process its requests; empty for all regions.
    pub home_regions: Vec<RegionName>,
}

impl Route {
    /// Returns the service for a request, chosen by weight from a hash of the request identifier,
    /// so that retries of a request go to the same service.
    ///
    /// Returns `None` if the weights add up to zero.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = stable_hash(&[request_id]) % total;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
