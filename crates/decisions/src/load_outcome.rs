//! Outcome of a sent request, for the load view.

/// How a request to a server or domain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The server answered.
    Answered,
    /// The caller disconnected or the attempt was dropped; not counted as a failure of the server.
    Cancelled,
    /// The server or the connection to it failed.
    Failed,
    /// The server refused the request because it is shutting down.
    RefusedLeaving,
}
