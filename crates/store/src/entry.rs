//! Entry of the key-value store.

use bytes::Bytes;

use crate::{LeaseId, StoreRevision};

/// Key with its value at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change to the key.
    pub revision: StoreRevision,
    /// Lease that the key is attached to: the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}
