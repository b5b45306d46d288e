//! Failure to read or apply a difference.

use crate::{BundleDigest, Faults};

/// Reason why a difference cannot be read or applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// The result has another digest than the difference promises.
    #[error("the result has digest {actual}, but the difference leads to {expected}")]
    DigestMismatch {
        /// Digest that the difference names.
        expected: BundleDigest,
        /// Digest of the result.
        actual: BundleDigest,
    },
    /// The result is no valid bundle.
    #[error("the result is no valid bundle: {0}")]
    InvalidResult(#[source] Box<Faults>),
    /// The text is no difference.
    #[error("line {line} of the difference is malformed")]
    Malformed {
        /// Line from 1.
        line: usize,
    },
    /// A change does not fit the section of the old document.
    #[error("the change of [{header}] does not fit the old bundle")]
    SectionMismatch {
        /// Header of the section.
        header: String,
    },
    /// The difference belongs to another old document.
    #[error("the difference begins at version {expected}, but the old bundle has version {actual}")]
    WrongPredecessor {
        /// Version that the difference begins at.
        expected: u64,
        /// Version of the old document.
        actual: u64,
    },
}
