//! State of an idempotency claim.

use serde::{Deserialize, Serialize};

/// State of the request that holds an idempotency claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request may run, be running, or have ended without a recorded outcome.
    Claimed,
    /// The request was refused before it ran; another request may take over the claim.
    Released,
    /// The request ran.
    Ran,
}
