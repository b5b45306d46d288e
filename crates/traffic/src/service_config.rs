//! Configuration of a service.

use std::time::Duration;

use crate::EngineConfig;

/// Limits of a service's backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Maximum number of connections to a backend server from all instances together.
    pub max_connections: u32,
    /// Time for which a backend server is cold, that is, warming up, after its start.
    pub cold_duration: Duration,
    /// Requests per second that a cold backend server accepts from all instances together; zero for
    /// no limit.
    pub cold_requests_per_s: f64,
    /// Path of the health check of a backend server; `None` if it has none.
    pub health_path: Option<String>,
    /// Configuration of its model engines; `None` for a plain service, which has none.
    pub engine: Option<EngineConfig>,
}
