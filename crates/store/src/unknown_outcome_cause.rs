//! Cause of a lost answer.

use http::StatusCode;

use crate::Entry;

/// Reason why the outcome of a call is unknown.
#[derive(Debug, thiserror::Error)]
pub enum UnknownOutcomeCause {
    /// The connection broke after the call may have been sent.
    #[error("the connection broke: {0}")]
    ConnectionLost(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer is not in the platform's form.
    #[error("the answer cannot be read: {0}")]
    Malformed(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer to a write was lost, and the key has another value by now: the write was either
    /// not done or replaced already.
    #[error("the key has another value by now")]
    DifferentValue {
        /// Present entry; nothing if the key is absent.
        current: Option<Box<Entry>>,
    },
    /// The answer did not arrive in time.
    #[error("no answer within the time limit")]
    Timeout,
    /// The answer has a status that the platform does not use.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
}
