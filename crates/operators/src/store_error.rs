//! Errors of calls to the key-value store.

/// Reason why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum StoreError {
    /// The response was lost or late. A write may have taken effect, or may still take effect.
    #[error("the store's answer was lost or late")]
    AnswerLost,
    /// The key already exists or is at another revision than expected; nothing was written.
    #[error("another write has changed the key")]
    Conflict,
    /// The store refused the call because its rate limit is exceeded; nothing was written.
    #[error("the rate of the store is exceeded")]
    RateExceeded,
    /// The store could not be reached, or refused the call for another reason; nothing was written.
    #[error("the store cannot be reached")]
    Unreachable,
}

impl StoreError {
    /// Returns whether the call was refused or not sent, in which case nothing was written.
    pub(crate) const fn is_refused(self) -> bool {
        match self {
            Self::RateExceeded | Self::Unreachable => true,
            Self::AnswerLost | Self::Conflict => false,
        }
    }
}
