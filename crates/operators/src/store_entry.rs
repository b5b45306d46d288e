//! Entry of the store.

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// Value.
    pub value: Vec<u8>,
    /// Revision at which it was written.
    pub revision: u64,
}
