//! Response of an engine to an order.

/// Whether an engine accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine accepted the order.
    Accepted,
    /// The engine ignored the order because it has received a higher fencing token.
    Fenced,
}
