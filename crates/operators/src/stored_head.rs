//! Head with its store revision.

use hawthornquay_decisions::StoreRevision;

use crate::BundleHead;

/// Head of the bundle in force with its store revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Head of the bundle in force.
    pub head: BundleHead,
    /// Store revision of `bundle/head`.
    pub revision: StoreRevision,
}
