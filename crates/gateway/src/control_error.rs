//! Failures of calls to the platform's store.

/// Failure of a call to the platform's store.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The store did not answer; a write may still take effect.
    #[error("the store did not answer: {0}")]
    Unreachable(String),
    /// The store refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store no longer has the changes after the revision.
    #[error("the store no longer has the changes after the revision")]
    HistoryLost,
    /// The entry of this instance has lapsed.
    #[error("the entry of this instance has lapsed")]
    Lapsed,
    /// The answer or a document in it cannot be understood.
    #[error("the store's answer cannot be understood: {0}")]
    Malformed(String),
}

impl ControlError {
    /// Returns a short name for logs and metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Refused(_) => "refused",
            Self::HistoryLost => "history-lost",
            Self::Lapsed => "lapsed",
            Self::Malformed(_) => "malformed",
        }
    }
}
