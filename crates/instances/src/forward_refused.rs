//! Refusal or failure of a forwarded request.

use hawthornquay_decisions::Execution;

use crate::WireExecution;

/// Refusal or failure of a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardRefused {
    /// Refusal code for the caller.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Message for the caller.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Whether a backend server ran the request, as far as is known; a [`WireExecution`].
    #[prost(enumeration = "WireExecution", tag = "3")]
    pub execution: i32,
    /// Time after which a retry may succeed, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

impl ForwardRefused {
    /// Creates a refusal without a retry time.
    pub fn new(code: &str, message: &str, execution: Execution) -> Self {
        Self {
            code: code.to_owned(),
            message: message.to_owned(),
            execution: WireExecution::from(execution).into(),
            retry_after_ms: 0,
        }
    }

    /// Returns whether a backend server ran the request, as reported by the refusing instance.
    ///
    /// A missing or unknown value counts as `Unknown`.
    pub fn confirmed_execution(&self) -> Execution {
        self.execution().into()
    }
}
