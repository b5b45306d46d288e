//! List of the orders that an engine has accepted.

use serde::{Deserialize, Serialize};

use crate::OrderRecord;

/// Response of an engine to a query of its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderList {
    /// Accepted orders, oldest first.
    pub orders: Vec<OrderRecord>,
}
