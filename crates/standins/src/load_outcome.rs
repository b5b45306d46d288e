//! Outcome of a request of a load.

/// How a request of a load ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The answer broke off, or the connection broke before it.
    Broken,
    /// The request was refused with this code.
    Refused(String),
    /// The answer is whole and carries the request's nonce.
    Correct,
    /// The answer did not end in time.
    TimedOut,
    /// No instance could be reached.
    Unreachable,
    /// The answer is complete by its form, but not the one to this request; says what is wrong.
    Wrong(String),
}
