//! Order to an engine.

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// Order to an engine with the fencing number of the orderer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderRequest {
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter, version or role that it concerns.
    pub model: String,
    /// Revision of the orderer's lease key.
    pub fence: u64,
}
