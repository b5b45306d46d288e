//! Limits and times of links.

use std::time::Duration;

/// Largest encoded envelope, in bytes.
///
/// Bundle parts are at most 1 MiB, and request bodies are bounded below this by the HTTP server.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Unconsumed bytes of one forwarded answer that its receiver buffers.
pub const STREAM_WINDOW_BYTES: usize = 256 << 10;

/// Largest piece of a forwarded answer in one frame, so that streams of one link alternate.
pub const MAX_DATA_CHUNK_BYTES: usize = 16 << 10;

/// Calls of one link that the serving side runs at once.
pub const MAX_CALLS_PER_LINK: usize = 1_024;

/// Messages that wait for the socket, for control and forwarded traffic each.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 64;

/// Times that govern a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Interval between heartbeats.
    ///
    /// Two intervals are shorter than the silence, so that one late heartbeat ends no link.
    pub heartbeat_interval: Duration,
    /// Silence after which a link is given up.
    pub receive_timeout: Duration,
    /// Time without calls after which the opening side closes a link.
    pub idle_timeout: Duration,
    /// Longest time for connection, TLS and `Hello` together.
    pub connect_timeout: Duration,
    /// Links to one instance that forwarded requests are spread over.
    ///
    /// A lost segment delays all streams of its link by a retransmission.
    pub forwarding_links: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(700),
            receive_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
            forwarding_links: 1,
        }
    }
}
