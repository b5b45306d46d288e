//! End of a sent request, as far as load is concerned.

/// How a sent request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The server answered.
    Answered,
    /// The caller left, which says nothing about the server.
    Cancelled,
    /// The server or the path to it failed.
    Failed,
    /// The server refused because it is leaving.
    RefusedLeaving,
}
