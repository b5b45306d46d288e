//! Stored form of an idempotency claim.

use serde::{Deserialize, Serialize};

use crate::{ClaimState, RequestId};

/// Value of an idempotency claim in the store.
///
/// It contains no data of the organisation, because the store may be in a region that the
/// organisation's residency excludes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Random number of the attempt that holds the claim.
    ///
    /// After a write without an answer, the attempt reads the entry and compares the token.
    pub token: u64,
    /// Request that holds the claim.
    pub request: RequestId,
    /// Keyed hash of the request's route and body.
    pub fingerprint: u64,
    /// Whether the request ran, as far as known.
    pub state: ClaimState,
}
