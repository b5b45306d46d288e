//! Prompt part whose requests are refused.

use crate::{MonotonicTime, PartId};

/// Prompt part that crashes backend servers, so that requests with it are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// Part that is quarantined.
    pub part: PartId,
    /// Time of the first crash that counts against the part. An answer that begins later to a
    /// request with the part ends the quarantine.
    pub first_crash_at: MonotonicTime,
    /// Time at which the quarantine began.
    pub since: MonotonicTime,
    /// Other parts that explain the same crashes, in ascending order. A request with the part that
    /// lacks one of them may be tried, since its answer or crash tells the two apart.
    pub alternatives: Vec<PartId>,
}
