//! Limits of the backend client.

use std::time::Duration;

/// Time-outs and memory limits of calls to backend servers.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from sending a request to the arrival of the response head.
    pub head_timeout: Duration,
    /// Maximum time without data while a response body is being received.
    pub body_idle_timeout: Duration,
    /// Maximum duration of a complete control call: load report, cache events, models or orders.
    pub control_call_timeout: Duration,
    /// Maximum size of the response body of a control call, in bytes.
    pub max_control_response_bytes: usize,
    /// Maximum number of idle connections kept for each backend server; zero disables reuse.
    pub max_idle_connections: usize,
    /// Time after which an idle connection is no longer used and is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(120),
            body_idle_timeout: Duration::from_secs(60),
            control_call_timeout: Duration::from_secs(2),
            max_control_response_bytes: 1024 * 1024,
            max_idle_connections: 16,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
