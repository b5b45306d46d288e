//! Kind of an order to an engine.

use serde::{Deserialize, Serialize};

/// What an order asks an engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load a version, which is then served like a model.
    LoadVersion,
    /// Remove a model or version.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role, such as prefill or decode.
    SetRole,
}

impl OrderKind {
    /// Returns whether an order of this kind decides the effect of an earlier one of kind `other`.
    pub(crate) fn replaces(self, other: Self, same_model: bool) -> bool {
        match (self, other) {
            (Self::SetRole, Self::SetRole) => true,
            (
                Self::LoadModel | Self::LoadVersion | Self::UnloadModel,
                Self::LoadModel | Self::LoadVersion | Self::UnloadModel,
            ) => same_model,
            (kind, other) => kind == other && same_model,
        }
    }
}
