//! Difference as it is stored and sent to other instances.

use serde::{Deserialize, Serialize};

use crate::{BundleDifference, BundleDocument, BundleHead, LoadError, Trust};

/// Difference from the predecessor of a bundle, with the head of the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredDifference {
    /// Head of the bundle that results from the difference.
    pub head: BundleHead,
    /// Text form of the difference.
    pub difference: String,
}

impl StoredDifference {
    /// Checks the signatures against the signers of `current` and returns its successor.
    ///
    /// # Errors
    ///
    /// Returns an error if `current` is not the predecessor, if too few signatures are valid, or if
    /// the result does not match the head.
    pub fn verify_and_apply(&self, current: &BundleDocument) -> Result<BundleDocument, LoadError> {
        let version = self.head.version;
        if self.head.previous != Some(current.digest())
            || current.version().checked_add(1) != Some(version)
        {
            return Err(LoadError::Mismatch { version });
        }
        Trust::of_predecessor(current.bundle()).verify_head(&self.head)?;
        let new = self
            .difference
            .parse::<BundleDifference>()
            .and_then(|difference| difference.apply(current))
            .map_err(|source| LoadError::Difference { version, source })?;
        if new.digest() != self.head.digest || new.version() != version {
            return Err(LoadError::Mismatch { version });
        }
        Ok(new)
    }
}
