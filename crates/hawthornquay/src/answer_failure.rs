//! Failure of an answer's body.

use hawthornquay_backends::BackendError;
use hawthornquay_instances::LinkError;

/// Reason why an answer broke off.
#[derive(Debug, thiserror::Error)]
pub enum AnswerFailure {
    /// The backend server failed.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The link to the instance that runs the request failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The instance that runs the request began the answer a second time.
    #[error("the remote instance began the answer a second time")]
    SecondHead,
    /// The instance that runs the request reported a failure.
    #[error("the remote instance reported a failure: {0}")]
    Remote(String),
}
