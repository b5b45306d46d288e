//! Kinds of orders to a model engine.

use serde::{Deserialize, Serialize};

/// Operation that an order tells a model engine to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load a version of a model, which is then served like a separate model.
    LoadVersion,
    /// Remove a model or version.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role of the engine, such as prefill or decode.
    SetRole,
}

impl OrderKind {
    /// Returns whether an order of this kind supersedes an earlier order of kind `other`.
    ///
    /// `same_model` is whether both name the same model, adapter or version.
    pub(crate) fn supersedes(self, other: Self, same_model: bool) -> bool {
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
