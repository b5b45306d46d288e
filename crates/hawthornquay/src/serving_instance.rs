//! Instance that served a request.

use std::net::SocketAddr;

/// Instance that served a request, as far as this instance can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingInstance {
    /// Running instance with this address for callers.
    Running(SocketAddr),
    /// The process has ended, or the request identifier names no process.
    Ended,
    /// The instance is not in this instance's member table.
    Unlisted,
}
