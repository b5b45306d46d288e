//! Entry of the key-value store.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde_json::{Value, json};

/// Value of a key, or the tombstone of a deleted key.
#[derive(Clone, Debug)]
pub(crate) struct KvEntry {
    /// Value; `None` if the key was deleted.
    pub(crate) value: Option<Bytes>,
    pub(crate) revision: u64,
    pub(crate) lease: Option<u64>,
}

impl KvEntry {
    pub(crate) fn to_json(&self, key: &str) -> Value {
        let Some(value) = &self.value else {
            return json!({"key": key, "revision": self.revision, "deleted": true});
        };
        let value = STANDARD.encode(value);
        json!({"key": key, "value": value, "revision": self.revision, "lease": self.lease})
    }
}
