//! Head as it was read from the store.

use crate::BundleHead;

/// Head with the store's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Head in force.
    pub head: BundleHead,
    /// Revision of `bundle/head`.
    pub revision: u64,
}
