//! Next step in sending orders to an engine.

use crate::{MonotonicTime, OrderRequest};

/// Next step that the orderer takes for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Query the list of orders that the engine has accepted.
    ListOrders,
    /// Send an order, then query the list again.
    Send(OrderRequest),
    /// Nothing to do; every wanted order is done.
    Complete,
    /// Stop sending orders; the lease has expired or another instance took over.
    Stop,
    /// Wait until a former holder of the lease can no longer send orders.
    WaitUntil(MonotonicTime),
}
