//! Body of a write to the store.

use serde::Deserialize;

/// Body of `PUT /kv/<key>`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PutRequest {
    /// Value, encoded in base64.
    pub(crate) value: String,
    /// Expected revision of the key; 0 for an absent key, `None` for any revision.
    #[serde(default)]
    pub(crate) expect: Option<u64>,
    /// Lease at whose end the key is deleted.
    #[serde(default)]
    pub(crate) lease: Option<u64>,
}
