//! Report of the times of a load.

use serde::Serialize;

use crate::Quantiles;

/// Quantiles of the times of right answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Time to the first token of streamed answers.
    pub first_token_ms: Quantiles,
    /// Time between the tokens of streamed answers.
    pub between_tokens_ms: Quantiles,
    /// Time of whole requests.
    pub total_ms: Quantiles,
}
