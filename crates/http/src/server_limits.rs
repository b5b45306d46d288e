//! Limits of a server.

use std::time::Duration;

/// Limits that bound the memory and time one connection can take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Most connections open at once; further ones wait to be accepted.
    pub max_connections: usize,
    /// Read buffer of one connection, in bytes; also bounds the size of a head.
    pub max_buffer_bytes: usize,
    /// Longest time that a shutdown waits for requests in flight.
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
