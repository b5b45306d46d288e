//! Failure while the body of an answer is received.

use hawthornquay_backends::BackendError;
use hawthornquay_instances::LinkError;

/// Reason why an answer ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum AnswerFailure {
    /// The backend server failed.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The link to the instance that the request was forwarded to failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The instance that the request was forwarded to sent a second head.
    #[error("the remote instance sent a second head of the answer")]
    SecondHead,
    /// The caller did not read the answer while other requests waited for the backend server.
    #[error("the answer was not read while other requests waited for the backend server")]
    Unread,
    /// The instance that the request was forwarded to reported a failure after the head.
    #[error("the remote instance reported a failure: {0}")]
    Remote(String),
}
