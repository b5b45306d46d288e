//! Loggers of the daemon's parts.

use hawthornquay_operators::{Logs, Part};
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
            backends: logs.part(Part::Backends),
            callers: logs.part(Part::Callers),
            claims: logs.part(Part::Claims),
            daemon: logs.part(Part::Daemon),
            limits: logs.part(Part::Limits),
            links: logs.part(Part::Links),
            membership: logs.part(Part::Membership),
            orders: logs.part(Part::Orders),
            platform: logs.part(Part::Platform),
            requests: logs.part(Part::Requests),
            rollout: logs.part(Part::Rollout),
            routing: logs.part(Part::Routing),
            _writer: logs,
        }
    }
}
