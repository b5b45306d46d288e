//! Kinds of changes of a prefix cache.

use serde::{Deserialize, Serialize};

/// Kind of a change of the prefix cache of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PrefixEventKind {
    /// The engine stored the prefix.
    Stored,
    /// The engine evicted the prefix.
    Evicted,
}
