//! Numbers of changed sections of one kind.

use serde::{Deserialize, Serialize};

/// Numbers of added, changed and removed sections of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeCounts {
    /// Sections that only the new bundle has.
    pub added: u64,
    /// Sections whose fields differ from those in the predecessor.
    pub changed: u64,
    /// Sections that only the predecessor has.
    pub removed: u64,
}
