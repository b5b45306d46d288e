//! Kind of an order to a model engine.

use serde::{Deserialize, Serialize};

/// What an engine is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Takes on the role that the `model` field names.
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
