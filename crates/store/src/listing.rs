//! Answer to a list call.

use crate::{Entry, Revision};

/// Entries under a prefix at one revision, in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store.
    pub revision: Revision,
    /// Entries.
    pub entries: Vec<Entry>,
}
