//! Work of an instance at a backend server.

use hawthornquay_decisions::BackendName;

/// Work at one backend server, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUsage {
    /// Identifier.
    pub id: BackendName,
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens of requests without an answer.
    pub pending_tokens: u64,
}
