//! Use of tokens by a request.

use serde::{Deserialize, Serialize};

use crate::UsageDetails;

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
    /// Parts of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: UsageDetails,
}
