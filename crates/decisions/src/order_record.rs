//! Entry in the list of orders of an engine.

use serde::{Deserialize, Serialize};

use crate::{OrderRequest, OrderState};

/// Order that an engine has accepted, with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    #[serde(flatten)]
    pub order: OrderRequest,
    /// Progress of the order; engines that apply orders immediately omit it.
    #[serde(default)]
    pub state: OrderState,
}
