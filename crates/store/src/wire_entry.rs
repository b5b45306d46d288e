//! JSON encoding of entries on the platform's interface.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;

use crate::{Change, Entry, LeaseId, PlatformError, Revision, UnknownOutcomeCause};

/// Entry, or tombstone of a deleted key, as the platform sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireEntry {
    key: String,
    #[serde(default)]
    value: String,
    revision: Revision,
    #[serde(default)]
    lease: Option<LeaseId>,
    #[serde(default)]
    deleted: bool,
}

impl WireEntry {
    pub(crate) fn into_entry(self) -> Result<Entry, PlatformError> {
        let value = STANDARD.decode(&self.value).map_err(|err| {
            PlatformError::UnknownOutcome(UnknownOutcomeCause::Malformed(err.into()))
        })?;
        Ok(Entry {
            key: self.key,
            value: value.into(),
            revision: self.revision,
            lease: self.lease,
        })
    }

    pub(crate) fn into_change(self) -> Result<Change, PlatformError> {
        if self.deleted {
            let (key, revision) = (self.key, self.revision);
            return Ok(Change::Deleted { key, revision });
        }
        self.into_entry().map(Change::Written)
    }
}

/// List of entries with the revision of the store, as the platform sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct WireEntries {
    pub(crate) revision: Revision,
    pub(crate) entries: Vec<WireEntry>,
}
