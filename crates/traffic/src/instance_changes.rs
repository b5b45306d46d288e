//! Changes of the list of instances between two store revisions.

use hawthornquay_decisions::InstanceName;

use crate::{ListedInstance, StoreRevision};

/// Changes of the list of instances after the store revision `base`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceChanges {
    /// Store revision after which the changes are complete.
    pub base: StoreRevision,
    /// Store revision of the list that results.
    pub revision: StoreRevision,
    /// Instances that were added or changed.
    pub changed: Vec<ListedInstance>,
    /// Instances that are no longer listed.
    pub removed: Vec<InstanceName>,
}
