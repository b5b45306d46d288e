//! Errors of accepting a bundle.

use crate::{AcceptConflict, BundleDigest, LoadError, SignatureError, StoreError};

/// Reason why a bundle was not accepted, or why the outcome is unknown.
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
        /// Error of the last write.
        source: StoreError,
    },
    /// The bundle in force cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Another bundle with the same or a later version is in force.
    #[error(
        "version {} is in force already; apply your change to it and raise `version`",
        .0.current.version
    )]
    Conflict(Box<AcceptConflict>),
    /// The responses of the store were lost, so it is unknown whether the bundle was accepted.
    #[error("it is unknown whether version {version} was accepted; run the command again")]
    OutcomeUnknown {
        /// Version of the proposed bundle.
        version: u64,
        /// Digest of the proposed bundle.
        digest: BundleDigest,
    },
    /// Too few signatures are valid.
    #[error(transparent)]
    Signatures(#[from] SignatureError),
    /// The store returned an error before the head was written; the bundle was not accepted.
    #[error("the bundle was not accepted: {0}")]
    Store(StoreError),
    /// The store came back from an older copy, and instances may still write back a later bundle; the
    /// bundle was not accepted.
    #[error(
        "the store came back from an older copy and has version {current}; instances may still \
         write back a later one; run the command again in half a minute"
    )]
    StoreUnsettled {
        /// Version that the store has.
        current: u64,
    },
    /// The version is not one above the version in force.
    #[error("version {version} does not follow version {current}; write `version = {}`", current + 1)]
    VersionGap {
        /// Version of the proposed bundle.
        version: u64,
        /// Version in force.
        current: u64,
    },
}

impl AcceptError {
    /// Returns whether a call to the store failed, so that a later attempt may succeed.
    pub const fn is_unreachable(&self) -> bool {
        match self {
            Self::AuditMissing { .. }
            | Self::OutcomeUnknown { .. }
            | Self::Store(_)
            | Self::StoreUnsettled { .. } => true,
            Self::Load(error) => error.is_unreachable(),
            Self::Conflict(_) | Self::Signatures(_) | Self::VersionGap { .. } => false,
        }
    }
}
