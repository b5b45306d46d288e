//! Begin or end of the quarantine of a prompt part.

use crate::PartId;

/// Begin or end of the quarantine of a prompt part, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with the part are refused from now on.
    Quarantined {
        /// Part that is quarantined.
        part: PartId,
        /// Crashes that count against the part; zero if another instance made the decision.
        crashes: usize,
    },
    /// A backend server has begun to answer a request with the part, or the quarantine has expired.
    Released(PartId),
}
