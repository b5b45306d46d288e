//! Decision after a failed attempt.

use crate::Refusal;

/// What an instance does after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Route the request again, excluding the servers and domains already tried.
    RouteAgain,
    /// Make no further attempt and return the refusal to the caller.
    GiveUp(Refusal),
}
