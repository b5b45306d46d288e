//! Entry of the store.

use bytes::Bytes;

use crate::{LeaseId, Revision};

/// Value of a key at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change to the key.
    pub revision: Revision,
    /// Lease that the key ends with.
    pub lease: Option<LeaseId>,
}
