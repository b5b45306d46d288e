//! Order to a model engine.

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// Order to a model engine, with the fencing number of the instance that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Operation to carry out.
    pub kind: OrderKind,
    /// Model, adapter, version or role that the order applies to.
    pub model: String,
    /// Fencing number: the revision of the key of the sender's lease in the store.
    pub fence: u64,
}
