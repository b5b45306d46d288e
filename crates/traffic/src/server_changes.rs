//! Changes of the list of backend servers between two store revisions.

use hawthornquay_decisions::BackendName;

use crate::{BackendEntry, StoreRevision};

/// Changes of the list of backend servers after the store revision `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// Store revision after which the changes are complete.
    pub base: StoreRevision,
    /// Store revision of the list that results.
    pub revision: StoreRevision,
    /// Servers that were added or changed.
    pub changed: Vec<BackendEntry>,
    /// Servers that are no longer listed.
    pub removed: Vec<BackendName>,
}
