//! Limits and time-outs of links.

use std::time::Duration;

/// Maximum size of an encoded envelope, in bytes.
///
/// It does not depend on the configuration, so that two instances with different versions of it
/// accept each other's frames. Bundle parts and the heads of forwarded requests are at most 1 MiB
/// before encoding; longer bodies are sent in several frames.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum length of the body of a forwarded request.
pub const MAX_FORWARDED_BODY_BYTES: usize = 32 << 20;

/// Maximum number of body bytes of a forwarded request in one frame.
///
/// Small frames let heartbeats and the requests of other callers pass between the parts of a body.
pub const MAX_BODY_CHUNK_BYTES: usize = 64 << 10;

/// Bound on the bodies in several frames that a process holds for other instances at once: twelve
/// bodies of 4 MiB.
pub const MAX_PARTIAL_BODIES_BYTES: usize = 48 << 20;

/// Flow-control window of one forwarded response: maximum number of unconsumed bytes that its
/// receiver buffers.
pub const STREAM_WINDOW_BYTES: usize = 256 << 10;

/// Maximum number of body bytes in one frame, so that the responses on a link are interleaved.
pub const MAX_DATA_CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of calls of one link that the receiving side runs concurrently.
pub const MAX_CALLS_PER_LINK: usize = 1_024;

/// Capacity of each of the send queues of a link for control and for forwarded traffic.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 64;

/// Capacity of the send queue of a link for parts of request bodies.
pub(crate) const MAX_QUEUED_BODY_CHUNKS: usize = 4;

/// Time-outs and number of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Interval between heartbeats.
    ///
    /// Two intervals are shorter than `receive_timeout`, so that one late heartbeat does not end a
    /// link.
    pub heartbeat_interval: Duration,
    /// Time without received data after which a link ends.
    pub receive_timeout: Duration,
    /// Time without calls after which the side that opened a link closes it.
    pub idle_timeout: Duration,
    /// Maximum time for TCP connection, TLS handshake and `Hello` messages together.
    pub connect_timeout: Duration,
    /// Maximum number of links to one instance over which forwarded requests are distributed.
    ///
    /// A lost TCP segment delays all responses on its link until the retransmission.
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
