//! JSON encoding of entries on the platform's interface.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;

use crate::{Change, Entry, LeaseId, PlatformError, StoreRevision, UnknownOutcomeCause};

/// Entry, or tombstone of a deleted key, as the platform sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireEntry {
    key: String,
    #[serde(default)]
    value: String,
    revision: u64,
    #[serde(default)]
    lease: Option<u64>,
    #[serde(default)]
    deleted: bool,
}

impl WireEntry {
    /// Returns the entry of a response in `era`.
    pub(crate) fn into_entry(self, era: u64) -> Result<Entry, PlatformError> {
        let value = STANDARD.decode(&self.value).map_err(|err| {
            PlatformError::UnknownOutcome(UnknownOutcomeCause::Malformed(err.into()))
        })?;
        Ok(Entry {
            key: self.key,
            value: value.into(),
            revision: StoreRevision {
                era,
                revision: self.revision,
            },
            lease: self.lease.map(|number| LeaseId { era, number }),
        })
    }

    /// Returns the change of a response in `era`.
    pub(crate) fn into_change(self, era: u64) -> Result<Change, PlatformError> {
        if self.deleted {
            let revision = StoreRevision {
                era,
                revision: self.revision,
            };
            return Ok(Change::Deleted {
                key: self.key,
                revision,
            });
        }
        self.into_entry(era).map(Change::Written)
    }
}

/// List of entries with the revision of the store, as the platform sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireEntries {
    pub(crate) revision: u64,
    pub(crate) entries: Vec<WireEntry>,
}
