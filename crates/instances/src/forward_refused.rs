//! Refusal or failure of a forwarded request.

use hawthornquay_decisions::Execution;

use crate::WireExecution;

/// Refusal or failure of a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardRefused {
    /// Code for the caller.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Message for the caller.
    #[prost(string, tag = "2")]
    pub message: String,
    /// What is known about the execution.
    #[prost(enumeration = "WireExecution", tag = "3")]
    pub execution: i32,
    /// Time after which a retry may succeed; zero when unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

impl ForwardRefused {
    /// Builds a refusal.
    pub fn new(code: &str, message: &str, execution: Execution) -> Self {
        Self {
            code: code.to_owned(),
            message: message.to_owned(),
            execution: WireExecution::from(execution).into(),
            retry_after_ms: 0,
        }
    }

    /// Returns what the sender confirmed about the execution.
    pub fn confirmed_execution(&self) -> Execution {
        self.execution().into()
    }
}
