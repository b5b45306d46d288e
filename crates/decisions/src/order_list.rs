//! Orders that an engine lists.

use serde::{Deserialize, Serialize};

use crate::OrderRecord;

/// Answer of an engine to a query of its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderList {
    /// Accepted orders, oldest first.
    pub orders: Vec<OrderRecord>,
}
