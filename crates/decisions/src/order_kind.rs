//! Kind of an order to an engine.

use serde::{Deserialize, Serialize};

/// What an order asks an engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model, or a version of it.
    LoadModel,
    /// Remove a model.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role, such as prefill or decode.
    SetRole,
}
