//! Next step of an idempotency claim.

use crate::{ClaimRecord, Refusal, StoreRevision};

/// Next step of the instance that claims an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the record to the store if the key has no entry.
    Create(ClaimRecord),
    /// Replace the entry by the record if the entry is still at `revision`.
    Replace {
        /// Record to write.
        record: ClaimRecord,
        /// Store revision that the entry must have.
        revision: StoreRevision,
    },
    /// Read the entry to find out whether a write took effect.
    ReadBack,
    /// Run the request; the store holds the claim.
    Run {
        /// Store revision of the entry.
        revision: StoreRevision,
    },
    /// Refuse the request, which must not run.
    Refuse(Refusal),
    /// Replace the entry at `revision` by the record, which releases the claim, and refuse the
    /// request.
    Withdraw {
        /// Record to write.
        record: ClaimRecord,
        /// Store revision that the entry must have.
        revision: StoreRevision,
        /// Refusal of the request.
        refusal: Refusal,
    },
}
