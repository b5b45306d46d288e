//! Loggers of the gateway's parts.

use hawthornquay_operators::{LogComponent, Logs};
use slog::Logger;

use crate::LogRateLimiter;

/// One logger for each part of the gateway.
pub struct GatewayLogs {
    /// Start and stop of the process.
    pub daemon: Logger,
    /// Rate limits of organisations.
    pub limits: Logger,
    /// Links between instances.
    pub links: Logger,
    /// Registration and list of instances.
    pub membership: Logger,
    /// Requests to the platform's store.
    pub platform: Logger,
    /// Requests and their outcomes.
    pub requests: Logger,
    /// Changes of the configuration and of evacuations.
    pub rollout: Logger,
    /// Changes of the list of backend servers.
    pub routing: Logger,
    /// Rate limit of the lines about requests.
    pub request_log_limit: LogRateLimiter,
    /// Rate limit of the lines about answers of the directory.
    pub directory_log_limit: LogRateLimiter,
    /// Rate limit of the lines about ends of connections.
    pub connection_log_limit: LogRateLimiter,
    _writer: Logs,
}

impl GatewayLogs {
    /// Builds the loggers of all parts. `logs` is kept so that its writer lives as long as they do.
    pub fn new(logs: Logs) -> Self {
        Self {
            daemon: logs.component(LogComponent::Daemon),
            limits: logs.component(LogComponent::Limits),
            links: logs.component(LogComponent::Links),
            membership: logs.component(LogComponent::Membership),
            platform: logs.component(LogComponent::Platform),
            requests: logs.component(LogComponent::Requests),
            rollout: logs.component(LogComponent::Rollout),
            routing: logs.component(LogComponent::Routing),
            request_log_limit: LogRateLimiter::default(),
            directory_log_limit: LogRateLimiter::default(),
            connection_log_limit: LogRateLimiter::default(),
            _writer: logs,
        }
    }
}
