//! Failure of a call to the platform.

use crate::{Entry, UnknownOutcomeCause};

/// Reason why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The key is not at the expected revision; nothing was changed.
    #[error("the key is not at the expected revision")]
    Conflict {
        /// Present entry; nothing if the key is absent.
        current: Option<Box<Entry>>,
    },
    /// The outcome of the call is unknown: a write may have taken effect.
    #[error("the answer of the platform was lost: {0}")]
    UnknownOutcome(#[source] UnknownOutcomeCause),
    /// The key, directory entry or lease does not exist.
    #[error("no such key, directory entry or lease")]
    NotFound,
    /// The platform is down; nothing was changed.
    #[error("the platform has an outage")]
    Outage,
    /// The store refused the call because of its rate; nothing was changed.
    #[error("the rate of the store is exceeded")]
    RateExceeded,
    /// The value is larger than the limit; nothing was changed.
    #[error("the value is larger than {} bytes", crate::MAX_VALUE_BYTES)]
    TooLarge,
    /// No connection could be made; nothing was sent.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl PlatformError {
    /// Returns whether it is certain that the call changed nothing.
    pub fn is_outcome_known(&self) -> bool {
        !matches!(self, Self::UnknownOutcome(_))
    }
}
