//! Changes of the list of backend servers between two store revisions.

use hawthornquay_decisions::BackendName;

use crate::BackendEntry;

/// Changes of the list of backend servers after the store revision `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// Store revision after which the changes are complete.
    pub base: u64,
    /// Store revision of the list that results.
    pub revision: u64,
    /// Servers that were added or changed.
    pub changed: Vec<BackendEntry>,
    /// Servers that are no longer listed.
    pub removed: Vec<BackendName>,
}
