//! Loggers of the daemon's parts.

use hawthornquay_operators::{LogComponent, Logs};
use slog::Logger;

/// One logger for each part, with its prefix and level.
pub struct PartLogs {
    /// Client of backend servers.
    pub backends: Logger,
    /// Callers' interface.
    pub callers: Logger,
    /// Idempotency claims.
    pub claims: Logger,
    /// Start and stop of the process.
    pub daemon: Logger,
    /// Rates and bursts.
    pub limits: Logger,
    /// Links between instances.
    pub links: Logger,
    /// View of the other instances.
    pub membership: Logger,
    /// Orders to model engines.
    pub orders: Logger,
    /// Client of the platform.
    pub platform: Logger,
    /// Requests in flight.
    pub requests: Logger,
    /// Rollout of bundles.
    pub rollout: Logger,
    /// Choice of backend servers.
    pub routing: Logger,
    _writer: Logs,
}

impl PartLogs {
    /// Takes the loggers of all parts; keeps the writer until the process ends.
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
