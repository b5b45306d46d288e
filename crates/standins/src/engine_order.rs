//! Order to a model engine.

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Operation to carry out.
    pub kind: OrderKind,
    /// Name of the model, adapter, version or role that the operation applies to.
    pub model: String,
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
}
