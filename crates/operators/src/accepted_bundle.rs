//! Result of an accept.

use crate::BundleHead;

/// Bundle that the store has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedBundle {
    /// Head of the bundle.
    pub head: BundleHead,
    /// Revision of the head's write; none if a later version replaced it before it was read.
    pub revision: Option<u64>,
    /// Whether the bundle was in force before this accept.
    pub was_in_force: bool,
}
