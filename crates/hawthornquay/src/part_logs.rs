//! Loggers of the daemon's parts.

use hawthornquay_operators::{LogComponent, Logs};
use slog::Logger;

/// Loggers of all parts of the daemon, each with the prefix and the level of its part.
pub struct PartLogs {
    /// Client of backend servers.
    pub backends: Logger,
    /// HTTP interface for callers.
    pub callers: Logger,
    /// Claims of idempotency keys.
    pub claims: Logger,
    /// Start and stop of the process.
    pub daemon: Logger,
    /// Rate limits of organisations.
    pub limits: Logger,
    /// Links between instances.
    pub links: Logger,
    /// Membership of the fleet.
    pub membership: Logger,
    /// Orders to model engines.
    pub orders: Logger,
    /// Client of the platform.
    pub platform: Logger,
    /// Requests of callers.
    pub requests: Logger,
    /// Rollout of bundles.
    pub rollout: Logger,
    /// Routing of requests.
    pub routing: Logger,
    _writer: Logs,
}

impl PartLogs {
    /// Creates the loggers of all parts and keeps the writer of the logs alive.
    pub fn new(logs: Logs) -> Self {
        Self {
            backends: logs.component(LogComponent::Backends),
            callers: logs.component(LogComponent::Callers),
            claims: logs.component(LogComponent::Claims),
            daemon: logs.component(LogComponent::Daemon),
            limits: logs.component(LogComponent::Limits),
            links: logs.component(LogComponent::Links),
            membership: logs.component(LogComponent::Membership),
            orders: logs.component(LogComponent::Orders),
            platform: logs.component(LogComponent::Platform),
            requests: logs.component(LogComponent::Requests),
            rollout: logs.component(LogComponent::Rollout),
            routing: logs.component(LogComponent::Routing),
            _writer: logs,
        }
    }
}
