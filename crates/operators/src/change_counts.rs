//! Number of changes of one kind of section.

use serde::{Deserialize, Serialize};

/// How many sections of one kind were added, changed and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeCounts {
    /// Sections that the predecessor lacks.
    pub added: u64,
    /// Sections with other fields than in the predecessor.
    pub changed: u64,
    /// Sections that only the predecessor has.
    pub removed: u64,
}
