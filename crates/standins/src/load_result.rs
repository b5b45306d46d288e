//! Result of a request of the load generator.

use std::time::Duration;

use crate::LoadOutcome;

/// Outcome and latencies of one request.
#[derive(Clone, Debug)]
pub(crate) struct LoadResult {
    pub(crate) outcome: LoadOutcome,
    /// Time to the first token of a streamed answer.
    pub(crate) first_token: Option<Duration>,
    /// Times between consecutive tokens of a streamed answer.
    pub(crate) token_gaps: Vec<Duration>,
    pub(crate) total: Duration,
}
