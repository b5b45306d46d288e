//! Log lines and metrics about the ends of connections of callers.

use hawthornquay_http::{ConnectionEnd, EndReason};

use crate::{Gateway, gateway::now};

impl<C, H> Gateway<C, H> {
    /// Counts the end of a connection of a caller, and logs it unless it came between two requests.
    pub(crate) fn report_connection_end(&self, end: &ConnectionEnd) {
        let request = match (end.is_request_open, end.unanswered_bytes, end.unread_bytes) {
            (true, _, _) => "unanswered",
            (false, 1.., _) => "partial",
            (false, 0, 1..) => "unread",
            (false, 0, 0) => "none",
        };
        self.metrics
            .count_connection_end(end.reason.as_str(), request);
        if end.is_between_requests() {
            return;
        }
        self.log_connection_end("callers", request, end);
    }

    /// Counts and logs the end of a connection to the readiness check, the directory or the metrics,
    /// if memory or connections ran short.
    pub(crate) fn report_status_connection_end(&self, server: &str, end: &ConnectionEnd) {
        if end.reason == EndReason::Pressure {
            self.metrics.count_status_connection_end(server);
            self.log_connection_end(server, "status", end);
        }
    }

    fn log_connection_end(&self, server: &str, request: &str, end: &ConnectionEnd) {
        let Some(suppressed) = self.log.connection_log_limit.admit_line(now()) else {
            return;
        };
        slog::info!(self.log.requests, "connection ended";
            "client" => %end.client,
            "server" => server,
            "reason" => end.reason.as_str(),
            "request" => request,
            "unanswered_bytes" => end.unanswered_bytes,
            "unread_bytes" => end.unread_bytes,
            "responses" => end.responses,
            "idle_ms" => u64::try_from(end.idle.as_millis()).unwrap_or(u64::MAX),
            "age_ms" => u64::try_from(end.age.as_millis()).unwrap_or(u64::MAX),
            "suppressed" => suppressed,
        );
    }
}
