//! Refusal of a request.

use std::time::Duration;

use crate::{Execution, RefusalCode};

/// Error response that the gateway returns in place of a backend server's response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message} ({})", code.as_str(), execution.as_str())]
pub struct Refusal {
    /// Reason, as a code that is stable across versions.
    pub code: RefusalCode,
    /// Whether the request ran on a backend server.
    pub execution: Execution,
    /// Sentence that tells the caller what to do.
    pub message: String,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that has not run and will not run.
    pub fn not_run(code: RefusalCode, message: &str) -> Self {
        Self {
            code,
            execution: Execution::NotRun,
            message: message.to_owned(),
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self {
            code,
            execution: Execution::Unknown,
            message: message.to_owned(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
