//! Refusal of a change to the store.

use serde_json::Value;

/// Reason why the store refused a change.
#[derive(Debug)]
pub(crate) enum KvWriteError {
    /// The key is not at the expected revision; holds the current entry, or null.
    Conflict(Value),
    /// The lease has ended.
    LeaseEnded,
}
