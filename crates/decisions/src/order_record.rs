//! Order as an engine lists it.

use serde::{Deserialize, Serialize};

use crate::{OrderRequest, OrderState};

/// Order that an engine accepted, with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    #[serde(flatten)]
    pub order: OrderRequest,
    /// Its progress; engines that apply orders at once leave it out.
    #[serde(default)]
    pub state: OrderState,
}
