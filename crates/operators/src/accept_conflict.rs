//! Report to an operator whose bundle was not accepted.

use crate::{BundleDifference, BundleHead};

/// Version that came first, and how it differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptConflict {
    /// Head in force.
    pub current: BundleHead,
    /// Difference that leads from the operator's bundle to the one in force.
    pub difference: BundleDifference,
}
