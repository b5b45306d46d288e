//! Error of a write to the key-value store.

use serde_json::Value;

/// Reason why a write was refused.
#[derive(Debug)]
pub(crate) enum KvWriteError {
    /// The key is not at the expected revision; contains the current entry as JSON, or null.
    Conflict(Value),
    /// The lease does not exist, has expired or was revoked.
    LeaseEnded,
}
