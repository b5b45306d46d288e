//! Outcome of a retry decision.

use crate::Refusal;

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Route again, without the servers and domains tried.
    RouteAgain,
    /// Tell the caller.
    GiveUp(Refusal),
}
