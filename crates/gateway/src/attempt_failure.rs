//! Failure of one attempt to run a request.

use std::time::Duration;

use hawthornquay_decisions::{Execution, RefusalCode};

use crate::BufferedResponse;

/// Failure of one attempt to run a request.
#[derive(Debug)]
pub struct AttemptFailure {
    /// Cause of the failure.
    pub cause: AttemptCause,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Whether a backend server received the request; `false` if a link failed or another instance
    /// refused the request.
    pub reached_server: bool,
}

/// Cause of a failed attempt.
#[derive(Debug)]
pub enum AttemptCause {
    /// The request could not be sent to the backend server.
    Unreachable,
    /// The backend server rejected the request without running it.
    Rejected,
    /// The address now belongs to another server, which rejected the request.
    WrongServer,
    /// No data arrived within the time-out.
    Silent,
    /// The time of the request ended before the response was complete.
    TimedOut,
    /// The attempt was ended because a part of the prompt was quarantined.
    Quarantined,
    /// The connection or the response ended early.
    Broken,
    /// The response is malformed, too large, unsigned, or belongs to another request.
    Garbled,
    /// The backend server responded with an error status.
    Error(Box<BufferedResponse>),
    /// The request is too large for another instance, or failed here before it was sent there.
    Unsendable(String),
    /// The other instance refused the request or could not be reached.
    Peer {
        /// Code of its refusal.
        code: RefusalCode,
        /// Message of its refusal; empty if it could not be reached.
        message: String,
        /// Time after which the other instance expects to accept requests.
        retry_after: Option<Duration>,
    },
}

impl AttemptFailure {
    /// Builds a failure of a request that was not sent to a backend server.
    pub const fn unsent(cause: AttemptCause) -> Self {
        Self {
            cause,
            execution: Execution::NotRun,
            reached_server: false,
        }
    }

    /// Builds a failure of a request that was sent and may have run.
    pub const fn unknown(cause: AttemptCause) -> Self {
        Self {
            cause,
            execution: Execution::Unknown,
            reached_server: true,
        }
    }

    /// Returns the outcome as it is written to logs and metrics.
    pub const fn outcome(&self) -> &'static str {
        match &self.cause {
            AttemptCause::Unreachable => "unreachable",
            AttemptCause::Rejected => "rejected",
            AttemptCause::WrongServer => "wrong-server",
            AttemptCause::Silent => "silent",
            AttemptCause::TimedOut => "timed-out",
            AttemptCause::Quarantined => "quarantined",
            AttemptCause::Broken => "broken",
            AttemptCause::Garbled => "garbled",
            AttemptCause::Error(_) => "error-answer",
            AttemptCause::Unsendable(_) => "unsendable",
            AttemptCause::Peer { code, .. } => code.as_str(),
        }
    }
}
