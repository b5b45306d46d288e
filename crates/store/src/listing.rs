//! Response to a list call.

use crate::{Entry, Revision};

/// Entries under a prefix at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
}
