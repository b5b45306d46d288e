//! Position in the history of the platform's store.

use std::fmt;

/// Position in the history of the platform's store.
///
/// A store that comes back from an older copy assigns revisions again and starts a new era.
/// Positions are ordered by era first, so that each one of a later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Number of times that the store has come back from an older copy, from a start of its own.
    pub era: u64,
    /// Revision within the era; zero if the position is unknown.
    pub revision: u64,
}

impl StoreRevision {
    /// Returns a position.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether this is the position of data that was read from the store.
    pub const fn is_known(self) -> bool {
        self.revision > 0
    }

    /// Returns whether `next` belongs to another era than this known position.
    pub(crate) const fn is_replaced_by(self, next: Self) -> bool {
        self.is_known() && self.era != next.era
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
