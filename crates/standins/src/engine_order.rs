//! Order to a model engine.

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter, version or role that the order is about.
    pub model: String,
    /// Fencing number of the sender's lease.
    pub fence: u64,
}
