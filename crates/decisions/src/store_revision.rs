//! Revision of the key-value store.

use serde::{Deserialize, Serialize};

/// Bits of a fencing number that hold the revision.
///
/// At 500 writes a second they last for 69 years. Eras up to 8,191 keep the number below 2^53, so
/// that engines which decode JSON numbers as floating point compare it exactly.
const FENCING_REVISION_BITS: u32 = 40;

/// Revision of the store within one of its eras.
///
/// The revision rises with every change of any key. When the store comes back from an older copy, a
/// new era begins: what was written since the copy is lost, and its revisions are given out again.
/// A revision of an earlier era therefore says nothing about the present history, and revisions are
/// ordered by era first. A store that states no era is in era 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of times that the store came back from a copy.
    pub era: u64,
    /// Revision within the era; 0 stands for an absent key.
    pub revision: u64,
}

impl StoreRevision {
    /// Expected revision of a key that does not exist, and revision before the first change.
    pub const ABSENT: Self = Self {
        era: 0,
        revision: 0,
    };

    /// Returns a revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether `next` belongs to another era than this revision, which is not that of an
    /// absent key.
    pub const fn is_replaced_by(self, next: Self) -> bool {
        !self.is_absent() && self.era != next.era
    }

    /// Returns whether this stands for an absent key.
    pub const fn is_absent(self) -> bool {
        self.revision == 0
    }

    /// Returns a number that keeps the order of revisions, for peers that compare single numbers.
    ///
    /// In era 0 it is the revision itself.
    pub const fn fencing_number(self) -> u64 {
        (self.era << FENCING_REVISION_BITS) | self.revision
    }
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.era == 0 {
            write!(f, "{}", self.revision)
        } else {
            write!(f, "{} of era {}", self.revision, self.era)
        }
    }
}
