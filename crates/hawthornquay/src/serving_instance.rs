//! Instance that served a request.

use std::net::SocketAddr;

/// What this instance knows of the one that served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestServer {
    /// It takes callers at this address.
    At(SocketAddr),
    /// Its process has ended, or the identifier names none.
    Ended,
    /// It is not in the list that this instance has read so far.
    Unlisted,
}
