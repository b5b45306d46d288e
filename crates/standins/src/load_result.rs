//! Answer to a request of a load.

use std::time::Duration;

use crate::LoadOutcome;

/// Outcome and times of one request.
#[derive(Clone, Debug)]
pub(crate) struct LoadResult {
    pub(crate) outcome: LoadOutcome,
    /// Time to the first token of a streamed answer.
    pub(crate) first_token: Option<Duration>,
    /// Times between the tokens of a streamed answer.
    pub(crate) gaps: Vec<Duration>,
    pub(crate) total: Duration,
}
