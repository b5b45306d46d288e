//! Quarantine of a prompt part that has ended.

use std::time::Duration;

use crate::{MonotonicTime, QuarantinedPart};

/// Quarantine of a prompt part that has ended.
#[derive(Clone, Debug)]
pub(crate) struct FormerQuarantine {
    pub(crate) quarantined: QuarantinedPart,
    /// Time for which the part was quarantined.
    pub(crate) duration: Duration,
    /// Time of an answer to a request with the part; none if the quarantine has expired and the part
    /// is on probation, where the next crash is enough.
    pub(crate) cleared_at: Option<MonotonicTime>,
}
