//! Failure of a call to the store.

/// Reason why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum StoreError {
    /// The answer was lost or late; a write may have taken effect, or may still.
    #[error("the store's answer was lost or late")]
    AnswerLost,
    /// The key exists, or has another revision than expected; nothing was written.
    #[error("another write came first")]
    Conflict,
    /// The store refused the call because of its rate; nothing was written.
    #[error("the rate of the store is exceeded")]
    RateExceeded,
    /// The store could not be reached, or refused the call for another reason; nothing was written.
    #[error("the store cannot be reached")]
    Unreachable,
}

impl StoreError {
    /// Returns whether the call was refused or not sent, so that nothing was written.
    pub(crate) const fn is_refused(self) -> bool {
        match self {
            Self::RateExceeded | Self::Unreachable => true,
            Self::AnswerLost | Self::Conflict => false,
        }
    }
}
