//! Breakdown of the prompt tokens.

use serde::{Deserialize, Serialize};

/// Breakdown of the prompt tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDetails {
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}
