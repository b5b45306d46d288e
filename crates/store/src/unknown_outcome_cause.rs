//! Cause of an unknown call outcome.

use http::StatusCode;

use crate::Entry;

/// Reason why it is unknown whether a call took effect.
#[derive(Debug, thiserror::Error)]
pub enum UnknownOutcomeCause {
    /// The connection failed after the call may have been sent.
    #[error("connection failed: {0}")]
    ConnectionLost(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The store came back from an older copy during the call, so that the expected revision or the
    /// lease was compared with one of another history.
    #[error("the store came back from an older copy during the call")]
    EraChanged,
    /// The response cannot be decoded.
    #[error("malformed response: {0}")]
    Malformed(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The outcome of a write was unknown, and the key now has a different value or is absent: the
    /// write either did not take effect or has been superseded by a later change.
    #[error("the key now has a different value or is absent")]
    DifferentValue {
        /// Current entry; `None` if the key is absent.
        current: Option<Box<Entry>>,
    },
    /// No response arrived within the time-out.
    #[error("no response within the time-out")]
    Timeout,
    /// The response has an HTTP status that the client does not expect.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
}
