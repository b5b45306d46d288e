//! Loggers of the gateway's parts.

use hawthornquay_operators::{Logs, Part};
use slog::Logger;

use crate::LogRateLimiter;

/// One logger for each part of the gateway.
pub struct GatewayLogs {
    /// Start and stop of the process.
    pub daemon: Logger,
    /// Rates and bursts.
    pub limits: Logger,
    /// Links between instances.
    pub links: Logger,
    /// View of the other instances.
    pub membership: Logger,
    /// Platform's store.
    pub platform: Logger,
    /// Requests and their outcomes.
    pub requests: Logger,
    /// Configuration.
    pub rollout: Logger,
    /// Backend servers.
    pub routing: Logger,
    /// Bound on the lines about requests.
    pub request_log_limit: LogRateLimiter,
    _writer: Logs,
}

impl GatewayLogs {
    /// Takes the loggers of all parts; keeps the writer until the process ends.
    pub fn new(logs: Logs) -> Self {
        Self {
            daemon: logs.part(Part::Daemon),
            limits: logs.part(Part::Limits),
            links: logs.part(Part::Links),
            membership: logs.part(Part::Membership),
            platform: logs.part(Part::Platform),
            requests: logs.part(Part::Requests),
            rollout: logs.part(Part::Rollout),
            routing: logs.part(Part::Routing),
            request_log_limit: LogRateLimiter::default(),
            _writer: logs,
        }
    }
}
