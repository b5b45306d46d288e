//! Failure of one attempt to run a request.

use std::time::Duration;

use hawthornquay_decisions::{Execution, RefusalCode};

use crate::BufferedResponse;

/// Failure of one attempt to run a request.
#[derive(Debug)]
pub struct AttemptFailure {
    /// Cause.
    pub cause: AttemptCause,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Whether a backend server saw the request.
    pub reached_server: bool,
}

/// Cause of a failed attempt.
#[derive(Debug)]
pub enum AttemptCause {
    /// The backend server or the instance could not be reached.
    Unreachable,
    /// The backend server did not take the request.
    Rejected,
    /// Another server answers at the address.
    WrongServer,
    /// Nothing came for too long.
    Silent,
    /// The connection or the answer broke off.
    Broken,
    /// The answer was not one of the backend server to this request.
    Garbled,
    /// The backend server answered with a failure.
    Error(Box<BufferedResponse>),
    /// The other instance refused or failed.
    Peer {
        /// Its reason.
        code: RefusalCode,
        /// Time after which it expects to take requests.
        retry_after: Option<Duration>,
    },
}

impl AttemptFailure {
    /// Builds a failure of a request that no backend server saw.
    pub const fn unsent(cause: AttemptCause) -> Self {
        Self {
            cause,
            execution: Execution::NotRun,
            reached_server: false,
        }
    }

    /// Builds a failure of a request that may have run.
    pub const fn unknown(cause: AttemptCause) -> Self {
        Self {
            cause,
            execution: Execution::Unknown,
            reached_server: true,
        }
    }

    /// Returns a short name for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match &self.cause {
            AttemptCause::Unreachable => "unreachable",
            AttemptCause::Rejected => "rejected",
            AttemptCause::WrongServer => "wrong-server",
            AttemptCause::Silent => "silent",
            AttemptCause::Broken => "broken",
            AttemptCause::Garbled => "garbled",
            AttemptCause::Error(_) => "error-answer",
            AttemptCause::Peer { code, .. } => code.as_str(),
        }
    }
}
