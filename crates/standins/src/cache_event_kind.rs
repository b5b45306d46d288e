//! Kind of a cache event.

use serde::{Deserialize, Serialize};

/// Kind of change of a prefix in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was added.
    Stored,
    /// The prefix was removed.
    Evicted,
}
