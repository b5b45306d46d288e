//! Next step of the orderer.

use crate::{MonotonicTime, OrderRequest};

/// What the orderer does next for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Read the engine's orders.
    ListOrders,
    /// Send an order, then read back.
    Send(OrderRequest),
    /// Every wanted order is done.
    Complete,
    /// Stop ordering: the lease has ended or another orderer took over.
    Stop,
    /// Wait for a former holder's possible orders to end.
    WaitUntil(MonotonicTime),
}
