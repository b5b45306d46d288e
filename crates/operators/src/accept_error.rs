//! Failure to accept a bundle.

use crate::{AcceptConflict, BundleDigest, LoadError, SignatureError, StoreError};

/// Reason why a bundle was not accepted, or why this is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// The bundle is in force, but its audit record could not be written.
    #[error(
        "version {version} is in force, but its audit record could not be written ({source}); \
         run the command again"
    )]
    AuditMissing {
        /// Version in force.
        version: u64,
        /// Reason.
        source: StoreError,
    },
    /// The bundle in force cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Another bundle came first.
    #[error(
        "version {} is in force already; apply your change to it and raise `version`",
        .0.current.version
    )]
    Conflict(Box<AcceptConflict>),
    /// The store did not tell whether the bundle was accepted.
    #[error("it is unknown whether version {version} was accepted; run the command again")]
    OutcomeUnknown {
        /// Version of the operator's bundle.
        version: u64,
        /// Digest of the operator's bundle.
        digest: BundleDigest,
    },
    /// The signatures are not enough.
    #[error(transparent)]
    Signatures(#[from] SignatureError),
    /// The store failed before the head was written; the bundle was not accepted.
    #[error("the bundle was not accepted: {0}")]
    Store(StoreError),
    /// The version does not follow the one in force.
    #[error("version {version} does not follow version {current}; write `version = {}`", current + 1)]
    VersionGap {
        /// Version of the operator's bundle.
        version: u64,
        /// Version in force.
        current: u64,
    },
}

impl AcceptError {
    /// Returns whether the store gave no answer, so that a later try may succeed.
    pub const fn is_unreachable(&self) -> bool {
        match self {
            Self::AuditMissing { .. } | Self::OutcomeUnknown { .. } | Self::Store(_) => true,
            Self::Load(error) => error.is_unreachable(),
            Self::Conflict(_) | Self::Signatures(_) | Self::VersionGap { .. } => false,
        }
    }
}
