//! Answers of the store to a claim's steps.

use crate::ClaimRecord;

/// Result of one store call that a claim made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect at this revision.
    Written {
        /// Revision of the entry.
        revision: u64,
    },
    /// The write failed because of this entry, or reading back found it.
    Found {
        /// Entry in the store.
        record: ClaimRecord,
        /// Revision of the entry.
        revision: u64,
    },
    /// Reading back found no entry.
    Absent,
    /// The call was sent and its answer was lost.
    AnswerLost,
    /// The call did not reach the store, or the store refused it.
    Unreachable,
}
