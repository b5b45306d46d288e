//! Limits of the client.

use std::time::Duration;

/// Limits that bound the time and memory of calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from sending a request to the head of its answer.
    pub head_timeout: Duration,
    /// Longest silence between two parts of an answer's body.
    pub body_idle_timeout: Duration,
    /// Longest time for a whole report or order call.
    pub control_call_timeout: Duration,
    /// Largest report, in bytes.
    pub max_control_response_bytes: usize,
    /// Idle connections kept for one backend server.
    pub max_idle_connections: usize,
    /// Time after which an idle connection is closed.
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
