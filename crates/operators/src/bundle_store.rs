//! Store as the bundle steps need it.

use std::future::Future;

use crate::{StoreEntry, StoreError};

/// Small key-value store with compare-and-swap.
pub trait BundleStore {
    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no answer.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<StoreEntry>, StoreError>> + Send;

    /// Writes a key that must not exist and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the key exists, or an error if the store gave no answer.
    fn create_if_absent(
        &self,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Replaces the value that a key has at `expected` and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the key has another revision, or an error if the store
    /// gave no answer.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Deletes a key; returns whether it existed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no answer.
    fn delete(&self, key: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;
}
