//! Limits of the HTTP server.

use std::time::Duration;

/// Limits on the memory and time that connections can take up.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum time for a request head to arrive.
    ///
    /// Over HTTP/1.1 it also applies while a connection is idle between two requests.
    pub header_timeout: Duration,
    /// Maximum number of open connections; further ones are not accepted until one closes.
    pub max_connections: usize,
    /// Maximum size of a connection's read buffer, in bytes; also limits the request head.
    pub max_buffer_bytes: usize,
    /// Maximum time for which a shutdown waits for requests in flight.
    pub drain_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_connections: 16_384,
            max_buffer_bytes: 16 * 1024,
            drain_timeout: Duration::from_secs(600),
        }
    }
}
