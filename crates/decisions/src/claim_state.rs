//! State of an idempotency claim.

use serde::{Deserialize, Serialize};

/// What is known about the request that holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The holder may run the request, now or later, or may have ended.
    Claimed,
    /// The request was refused before it ran; another one may take the claim.
    Released,
    /// The request ran.
    Ran,
}
