//! Difference as it is kept in the store and sent to peers.

use serde::{Deserialize, Serialize};

use crate::{BundleDifference, BundleDocument, BundleHead, LoadError, Trust};

/// Difference from a bundle's predecessor with the bundle's head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredDifference {
    /// Head of the bundle that the difference leads to.
    pub head: BundleHead,
    /// Text of the difference.
    pub difference: String,
}

impl StoredDifference {
    /// Checks the signatures against `held` and returns the bundle that follows it.
    ///
    /// # Errors
    ///
    /// Returns an error if `held` is not the predecessor, if the signatures are not enough for it,
    /// or if the result is not the bundle that the head names.
    pub fn verify_and_apply(&self, held: &BundleDocument) -> Result<BundleDocument, LoadError> {
        let version = self.head.version;
        if self.head.previous != Some(held.digest())
            || held.version().checked_add(1) != Some(version)
        {
            return Err(LoadError::Mismatch { version });
        }
        Trust::of_predecessor(held.bundle()).verify_head(&self.head)?;
        let new = self
            .difference
            .parse::<BundleDifference>()
            .and_then(|difference| difference.apply(held))
            .map_err(|source| LoadError::Difference { version, source })?;
        if new.digest() != self.head.digest || new.version() != version {
            return Err(LoadError::Mismatch { version });
        }
        Ok(new)
    }
}
