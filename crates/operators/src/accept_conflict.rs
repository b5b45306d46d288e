//! Conflict with another accepted bundle.

use crate::{BundleDifference, BundleHead};

/// Bundle that was accepted first, and its difference from the bundle that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptConflict {
    /// Head of the bundle in force.
    pub current: BundleHead,
    /// Difference from the refused bundle to the one in force.
    pub difference: BundleDifference,
}
