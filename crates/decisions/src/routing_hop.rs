//! Sender of a request: a caller or another instance.

/// Whether an instance received a request from a caller or from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingHop {
    /// Received from a caller; may be forwarded once.
    Caller,
    /// Forwarded by another instance with this hop count; must not be forwarded again.
    Forwarded(u32),
}
