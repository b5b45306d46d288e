//! Route of the configuration.

use std::time::Duration;

use hawthornquay_decisions::{RegionName, ServiceName};

use crate::{ExecutionSemantics, stable_hash};

/// Route of the configuration, selected by host and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers name, in lowercase.
    pub host: String,
    /// Start of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub semantics: ExecutionSemantics,
    /// Longest time for a request, counted from its arrival.
    pub timeout: Duration,
    /// Time to the answer, or its first event, that callers expect.
    pub target_latency: Duration,
    /// Backend servers that may run one request.
    pub max_attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether callers need no key.
    pub open: bool,
    /// Regions that may run and carry its requests; empty for all.
    pub home_regions: Vec<RegionName>,
}

impl Route {
    /// Returns the service for a request; the same request gets the same service.
    ///
    /// Returns `None` if no service has a weight.
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
