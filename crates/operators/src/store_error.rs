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
    /// The store could not be reached, or refused the call; nothing was written.
    #[error("the store cannot be reached")]
    Unreachable,
}
