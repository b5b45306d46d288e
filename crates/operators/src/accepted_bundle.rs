//! Result of accepting a bundle.

use hawthornquay_decisions::StoreRevision;

use crate::BundleHead;

/// Bundle that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedBundle {
    /// Head of the bundle.
    pub head: BundleHead,
    /// Store revision of the head; `None` if a later version replaced the head before its revision
    /// could be read.
    pub revision: Option<StoreRevision>,
    /// Whether the bundle was already in force before this request.
    pub was_in_force: bool,
}
