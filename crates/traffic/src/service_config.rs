//! Terms of a service.

use std::time::Duration;

use crate::EngineConfig;

/// Terms of a service in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Connections that a backend server accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start.
    pub cold_duration: Duration,
    /// Requests a second that a cold backend server takes from all instances; zero for no limit.
    pub cold_requests_per_s: f64,
    /// Terms of its model engines; `None` for a plain service.
    pub engine: Option<EngineConfig>,
}
