//! Idempotency claim as the store holds it.

use serde::{Deserialize, Serialize};

use crate::{ClaimState, RequestId};

/// Value of a claim in the store.
///
/// It holds no data of the organisation, because the store may lie outside its residency.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Random number of the attempt that holds the claim; resolves a lost answer by reading back.
    pub token: u64,
    /// Request that holds the claim.
    pub request: RequestId,
    /// Keyed hash of the request's route and body.
    pub fingerprint: u64,
    /// What is known about the request.
    pub state: ClaimState,
}
