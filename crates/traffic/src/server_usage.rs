//! Use of a backend server by one or more instances.

use hawthornquay_decisions::BackendName;

/// Use of a backend server, as instances report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUsage {
    /// Identifier of the server.
    pub id: BackendName,
    /// Number of requests in progress.
    pub requests: u32,
    /// Prompt tokens of requests that wait for the first byte of their response.
    pub pending_tokens: u64,
}
