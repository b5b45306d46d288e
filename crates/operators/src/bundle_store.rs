//! Interface to the key-value store for accepting and loading bundles.

use std::future::Future;

use hawthornquay_decisions::StoreRevision;

use crate::{StoreEntry, StoreError};

/// Key-value store with compare-and-swap.
pub trait BundleStore {
    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<StoreEntry>, StoreError>> + Send;

    /// Creates a key and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the key exists, or another error if the call failed.
    fn create_if_absent(
        &self,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<StoreRevision, StoreError>> + Send;

    /// Replaces the value of a key that is at revision `expected`, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the key is at another revision, or another error if the
    /// call failed.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: StoreRevision,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>> + Send;

    /// Deletes a key and returns whether it existed.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    fn delete(&self, key: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;
}
