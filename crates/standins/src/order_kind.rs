//! Kind of an order to a model engine.

use serde::{Deserialize, Serialize};

/// Operation that an order tells a model engine to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Sets the role to the one in the `model` field.
    SetRole,
    /// Loads an adapter, which is then served like a model.
    LoadAdapter,
    /// Loads a model.
    LoadModel,
    /// Loads a version, which is then served like a model.
    LoadVersion,
    /// Unloads a model, adapter or version.
    UnloadModel,
}
