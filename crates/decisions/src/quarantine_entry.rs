//! Quarantine of a prompt part.

use std::time::Duration;

use crate::QuarantinedPart;

/// Quarantine of a prompt part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineEntry {
    pub(crate) quarantined: QuarantinedPart,
    /// Crashes that counted against the part; zero if another instance made the decision.
    pub(crate) crashes: usize,
    /// Time for which the part is quarantined.
    pub(crate) duration: Duration,
}

impl QuarantineEntry {
    /// Time for which a part is quarantined at most.
    pub(crate) const MAX_DURATION: Duration = Duration::from_secs(600);

    /// Time for which a part is quarantined first if servers have answered requests with it before.
    ///
    /// Such a part may be quarantined by mistake while servers fail for another reason, and many
    /// requests may share it. The time doubles with each further quarantine.
    pub(crate) const SERVED_DURATION: Duration = Duration::from_secs(60);
}
