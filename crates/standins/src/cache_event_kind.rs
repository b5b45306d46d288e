//! Kind of a cache event.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The cache holds the prefix now.
    Stored,
    /// The cache holds the prefix no longer.
    Evicted,
}
