//! Next step of a claim.

use crate::{ClaimRecord, Refusal};

/// What the claiming instance does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the record if the store has no entry.
    Create(ClaimRecord),
    /// Replace the entry at `revision` by the record.
    Replace {
        /// Record to write.
        record: ClaimRecord,
        /// Revision that the entry must have.
        revision: u64,
    },
    /// Read the entry.
    ReadBack,
    /// Run the request; the claim stands at `revision`.
    Run {
        /// Revision of the entry.
        revision: u64,
    },
    /// Answer with a refusal; the request must not run.
    Refuse(Refusal),
}
