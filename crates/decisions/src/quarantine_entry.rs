//! Quarantine of a prompt part.

use std::time::Duration;

use crate::QuarantinedPart;

/// Quarantine of a prompt part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineEntry {
    pub(crate) quarantined: QuarantinedPart,
    /// Crashes that counted against the part; zero if another instance made the decision.
    pub(crate) crashes: usize,
}

impl QuarantineEntry {
    /// Time for which a part is quarantined.
    pub(crate) const DURATION: Duration = Duration::from_secs(600);
}
