//! Entry in the key-value store.

use hawthornquay_decisions::StoreRevision;

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// Value.
    pub value: Vec<u8>,
    /// Store revision at which the value was written.
    pub revision: StoreRevision,
}
