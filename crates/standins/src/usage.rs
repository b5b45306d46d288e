//! Token usage of a request.

use serde::{Deserialize, Serialize};

use crate::UsageDetails;

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt tokens and generated tokens.
    pub total_tokens: u64,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: UsageDetails,
}
