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
    /// Maximum number of header fields of a request over HTTP/1.1. Further ones are refused with
    /// status 431. Over HTTP/2, each counts 32 bytes towards `max_buffer_bytes`.
    pub max_header_fields: usize,
    /// Maximum number of requests of a connection that are answered and whose responses have not
    /// been written, because the client does not read them; over HTTP/2, of concurrent requests.
    pub max_unread_responses: usize,
    /// Time without progress after which a connection that is sending a request may be ended while
    /// memory or connections run short.
    pub request_stall_timeout: Duration,
    /// Time without progress after which a connection whose client does not read a response may be
    /// ended while memory or connections run short.
    ///
    /// Otherwise a client may read as slowly as it likes: the kernel hides how fast it reads.
    pub response_stall_timeout: Duration,
    /// Maximum time for which a shutdown waits for requests in flight.
    pub drain_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_connections: 16_384,
            max_buffer_bytes: 16 * 1024,
            // The limits of hyper, so that they are stated and checked.
            max_header_fields: 100,
            max_unread_responses: 200,
            // Well above the pauses of a client that sends, or reads, without interruption.
            request_stall_timeout: Duration::from_secs(1),
            response_stall_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(600),
        }
    }
}
