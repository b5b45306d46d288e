//! Answer of an engine to an order.

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// It accepted the order.
    Accepted,
    /// It has seen a newer fencing number and ignored the order.
    Fenced,
}
