//! Body of a write to the store.

use serde::Deserialize;

/// Body of `PUT /kv/<key>`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PutRequest {
    /// Value in base64.
    pub(crate) value: String,
    /// Revision that the key must be at; 0 for an absent key, nothing for any.
    #[serde(default)]
    pub(crate) expect: Option<u64>,
    /// Lease that the key ends with.
    #[serde(default)]
    pub(crate) lease: Option<u64>,
}
