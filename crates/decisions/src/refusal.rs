//! Refusal of a request.

use std::time::Duration;

use crate::{Execution, RefusalCode};

/// Answer that the gateway gives in place of a backend server's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message} ({})", code.as_str(), execution.as_str())]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub execution: Execution,
    /// Sentence that tells the caller what to do.
    pub message: String,
    /// Time after which a new try may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a request that never reached a backend server.
    pub fn not_run(code: RefusalCode, message: &str) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            message: message.to_owned(),
            retry_after: None,
        }
    }

    /// Builds a refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self {
            code,
            execution: Execution::Unknown,
            message: message.to_owned(),
            retry_after: None,
        }
    }

    /// Adds the time after which a new try may succeed.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
