//! Response to a list call.

use crate::{Entry, StoreRevision};

/// Entries under a prefix at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store at which the entries were read.
    pub revision: StoreRevision,
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
}
