//! Failure of a call to the platform.

use crate::{Entry, UnknownOutcomeCause};

/// Failure of a call to the platform.
///
/// Only `UnknownOutcome` leaves open whether the call took effect.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The key is not at the expected revision; the call had no effect.
    #[error("the key is not at the expected revision")]
    Conflict {
        /// Current entry; `None` if the key is absent.
        current: Option<Box<Entry>>,
    },
    /// The call names a revision of a history that the store no longer has, because it came back
    /// from an older copy; the call had no effect.
    #[error("the store came back from an older copy and lost the history of the revision")]
    HistoryDiscarded,
    /// The outcome of the call is unknown: a write may have taken effect.
    #[error("the answer of the platform was lost: {0}")]
    UnknownOutcome(#[source] UnknownOutcomeCause),
    /// The key, directory entry or lease does not exist.
    #[error("no such key, directory entry or lease")]
    NotFound,
    /// The platform reports that it is unavailable; the call had no effect.
    #[error("the platform has an outage")]
    Outage,
    /// The rate limit of the store rejected the call; the call had no effect.
    #[error("the rate of the store is exceeded")]
    RateExceeded,
    /// The value is larger than [`crate::MAX_VALUE_BYTES`]; the call had no effect.
    #[error("the value exceeds {} bytes", crate::MAX_VALUE_BYTES)]
    TooLarge,
    /// No connection could be opened; nothing was sent.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl PlatformError {
    /// Returns whether the outcome is known: the call then had no effect.
    pub fn is_outcome_known(&self) -> bool {
        !matches!(self, Self::UnknownOutcome(_))
    }
}
