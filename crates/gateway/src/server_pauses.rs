//! Pauses that backend servers ask this instance for.

use std::time::Duration;

use hawthornquay_decisions::BackendName;

use crate::{Gateway, HealthReport, gateway::now};

impl<C, H> Gateway<C, H> {
    /// Records that a server wants no requests from this instance for `pause`.
    pub(crate) fn record_pause(&self, server: &BackendName, pause: Duration) {
        if self.servers.lock().record_pause(now(), server, pause) {
            self.metrics.count_server_pause();
            slog::info!(self.log.routing, "backend server takes no requests from this instance";
                "server" => server.as_str(), "pause_ms" => pause.as_millis());
        }
    }

    /// Records the pause that an answer to a health check states, unless another process has answered.
    pub(crate) fn record_health_pause(&self, server: &BackendName, health: &HealthReport) {
        let answering = health.server.as_deref();
        if let Some(pause) = health.pause
            && answering.is_none_or(|id| id == server.as_str())
        {
            self.record_pause(server, pause);
        }
    }
}
