//! Errors of loading a bundle.

use crate::{DifferenceError, Faults, SignatureError, StoreError};

/// Reason why a bundle cannot be loaded or verified.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// A difference cannot be applied.
    #[error("the difference to version {version} cannot be applied: {source}")]
    Difference {
        /// Version that results from the difference.
        version: u64,
        /// Cause.
        source: DifferenceError,
    },
    /// The stored content is not a valid bundle.
    #[error("the stored content of version {version} is no valid bundle: {source}")]
    Invalid {
        /// Version of the head.
        version: u64,
        /// Faults of the content.
        source: Box<Faults>,
    },
    /// A stored value cannot be parsed.
    #[error("the store's value under `{key}` is malformed")]
    Malformed {
        /// Key of the value.
        key: String,
    },
    /// The version or digest of the content or difference does not match the head.
    #[error("the stored bundle of version {version} is not the one that its head names")]
    Mismatch {
        /// Version of the head.
        version: u64,
    },
    /// A value is missing from the store.
    #[error("the store has no value under `{key}`")]
    Missing {
        /// Key of the value.
        key: String,
    },
    /// Too few signatures are valid.
    #[error(transparent)]
    Signatures(#[from] SignatureError),
    /// A call to the store failed.
    #[error("cannot load the bundle: {0}")]
    Store(#[from] StoreError),
}

impl LoadError {
    /// Returns whether a call to the store failed.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::Store(_))
    }
}
