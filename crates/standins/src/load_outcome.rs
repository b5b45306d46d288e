//! Outcome of a request of the load generator.

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The connection failed before or during the response.
    ConnectionFailed,
    /// The request was refused; contains status, error code and execution state.
    Refused(String),
    /// The answer is complete and contains the nonce of the request.
    Correct,
    /// The response did not end within the timeout.
    TimedOut,
    /// No connection to any address could be established.
    Unreachable,
    /// The response ended normally, but is not the expected answer; contains the difference.
    Wrong(String),
}
