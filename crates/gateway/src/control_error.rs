//! Errors of requests to the platform's store.

/// Error of a request to the platform's store.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No response arrived; a write may still take effect.
    #[error("no response from the store: {0}")]
    Unreachable(String),
    /// The store rejected the request with this HTTP status.
    #[error("the store rejected the request with status {0}")]
    Refused(u16),
    /// The store has discarded the changes after the requested revision.
    #[error("the store has discarded the changes after the requested revision")]
    HistoryLost,
    /// The registration of this instance has expired.
    #[error("the registration of this instance has expired")]
    Lapsed,
    /// The response has more bytes than are read.
    #[error("the response has over {limit} bytes")]
    TooLarge {
        /// Largest response that is read, in bytes.
        limit: usize,
    },
    /// The response, or a document in it, does not have the expected form.
    #[error("invalid data from the store: {0}")]
    Malformed(String),
}

impl ControlError {
    /// Returns the outcome as it is written to metrics.
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Refused(_) => "refused",
            Self::HistoryLost => "history-lost",
            Self::Lapsed => "lapsed",
            Self::TooLarge { .. } => "too-large",
            Self::Malformed(_) => "malformed",
        }
    }
}
