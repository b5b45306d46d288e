//! Parts of a prompt's tokens.

use serde::{Deserialize, Serialize};

/// Parts of a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDetails {
    /// Tokens that the prefix cache held.
    pub cached_tokens: u64,
}
