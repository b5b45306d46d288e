//! Latency report of a load run.

use serde::Serialize;

use crate::Quantiles;

/// Latency quantiles of the correct answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Time to the first token, for streamed answers.
    pub first_token_ms: Quantiles,
    /// Time between two tokens, for streamed answers.
    pub between_tokens_ms: Quantiles,
    /// Time from the start of a request to the end of its answer.
    pub total_ms: Quantiles,
}
