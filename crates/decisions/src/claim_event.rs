//! Results of the store calls of an idempotency claim.

use crate::{ClaimRecord, StoreRevision};

/// Result of one store call of an idempotency claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The write took effect.
    Written {
        /// Store revision of the new entry.
        revision: StoreRevision,
    },
    /// The store has this entry: the conditional write failed because of it, or a read returned it.
    Found {
        /// Entry in the store.
        record: ClaimRecord,
        /// Store revision of the entry.
        revision: StoreRevision,
    },
    /// The read found no entry.
    Absent,
    /// The call was sent but no answer arrived, so it may or may not have taken effect.
    AnswerLost,
    /// The call did not reach the store, or the store rejected it.
    Unreachable,
}
