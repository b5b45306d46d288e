//! Errors of parsing or applying a difference.

use crate::{BundleDigest, Faults};

/// Reason why a difference cannot be parsed or applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// The result does not have the version and digest that the difference states.
    #[error("the difference results in digest {actual} instead of {expected}")]
    DigestMismatch {
        /// Digest that the difference states.
        expected: BundleDigest,
        /// Digest of the result.
        actual: BundleDigest,
    },
    /// The result is not a valid bundle.
    #[error("the difference results in an invalid bundle: {0}")]
    InvalidResult(#[source] Box<Faults>),
    /// The text is not a difference.
    #[error("line {line} of the difference is malformed")]
    Malformed {
        /// Line number, counted from 1.
        line: usize,
    },
    /// An added section exists in the old bundle, or a changed or removed one does not.
    #[error("the change of [{header}] does not apply to the old bundle")]
    SectionMismatch {
        /// Header of the section.
        header: String,
    },
    /// The difference was computed from another old bundle.
    #[error(
        "the difference applies to version {expected}, but the old bundle has version {actual}"
    )]
    WrongPredecessor {
        /// Version that the difference was computed from.
        expected: u64,
        /// Version of the old bundle.
        actual: u64,
    },
}
