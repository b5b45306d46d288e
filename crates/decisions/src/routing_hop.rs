//! Where a request came from.

/// Whether a request came from a caller or from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingHop {
    /// From a caller; may be forwarded once.
    Caller,
    /// Forwarded by another instance, with the hop count that it gave; never forwarded again.
    Forwarded(u32),
}
