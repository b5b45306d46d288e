//! Change to a key.

use crate::{Entry, StoreRevision};

/// Latest change to a key, as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Entry),
    /// The key was deleted, or its lease was revoked or expired.
    Deleted {
        /// Deleted key.
        key: String,
        /// Revision at which the key was deleted.
        revision: StoreRevision,
    },
}
