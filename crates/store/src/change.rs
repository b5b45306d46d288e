//! Change of a key.

use crate::{Entry, Revision};

/// Last change of a key that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Written(Entry),
    /// The key was deleted, or its lease ended.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}
