//! Adapter of the platform's store for the operators' package.

use hawthornquay_operators::{BundleStore, StoreEntry, StoreError};
use hawthornquay_store::{Entry, PlatformClient, PlatformError, StoreRevision};

/// Store of bundles in the platform's key-value store.
pub struct PlatformStore<'a>(pub &'a PlatformClient);

impl BundleStore for PlatformStore<'_> {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        match self.0.get(key).await {
            Ok(entry) => Ok(Some(store_entry(entry))),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(store_error(&error)),
        }
    }

    async fn create_if_absent(&self, key: &str, value: &[u8]) -> Result<StoreRevision, StoreError> {
        self.compare_and_swap(key, value, StoreRevision::ABSENT)
            .await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expect: StoreRevision,
    ) -> Result<StoreRevision, StoreError> {
        let written = self.0.compare_and_swap(key, value, expect, None).await;
        written.map_err(|error| store_error(&error))
    }

    async fn delete(&self, key: &str) -> Result<bool, StoreError> {
        match self.0.delete(key, None).await {
            Ok(_) => Ok(true),
            Err(PlatformError::NotFound) => Ok(false),
            Err(error) => Err(store_error(&error)),
        }
    }
}

fn store_entry(entry: Entry) -> StoreEntry {
    StoreEntry {
        value: entry.value.to_vec(),
        revision: entry.revision,
    }
}

fn store_error(error: &PlatformError) -> StoreError {
    match error {
        PlatformError::Conflict { .. } | PlatformError::HistoryDiscarded => StoreError::Conflict,
        PlatformError::UnknownOutcome(_) => StoreError::AnswerLost,
        PlatformError::RateExceeded => StoreError::RateExceeded,
        PlatformError::NotFound
        | PlatformError::Outage
        | PlatformError::TooLarge
        | PlatformError::Unreachable(_) => StoreError::Unreachable,
    }
}
