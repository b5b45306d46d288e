//! Failure to load a bundle from the store.

use crate::{DifferenceError, Faults, SignatureError, StoreError};

/// Reason why a bundle cannot be loaded or taken over.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// A difference does not apply.
    #[error("the difference to version {version} does not apply: {source}")]
    Difference {
        /// Version that it leads to.
        version: u64,
        /// Reason.
        source: DifferenceError,
    },
    /// The stored content is no valid bundle.
    #[error("the stored content of version {version} is no valid bundle: {source}")]
    Invalid {
        /// Version that the head names.
        version: u64,
        /// Faults of the content.
        source: Box<Faults>,
    },
    /// A stored value cannot be read.
    #[error("the store's value under `{key}` is malformed")]
    Malformed {
        /// Key of the value.
        key: String,
    },
    /// The content or difference is not the one that the head names.
    #[error("the stored bundle of version {version} is not the one that its head names")]
    Mismatch {
        /// Version that the head names.
        version: u64,
    },
    /// A value is not in the store.
    #[error("the store has no value under `{key}`")]
    Missing {
        /// Key of the value.
        key: String,
    },
    /// The signatures are not enough.
    #[error(transparent)]
    Signatures(#[from] SignatureError),
    /// The store failed.
    #[error("cannot load the bundle: {0}")]
    Store(#[from] StoreError),
}

impl LoadError {
    /// Returns whether the store gave no answer.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::Store(_))
    }
}
