//! Quarantine of a prompt part.

use std::time::Duration;

use crate::{MonotonicTime, PartId, QuarantinedPart};

/// Quarantine of a prompt part.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineEntry {
    pub(crate) quarantined: QuarantinedPart,
    /// Crashes that counted against the part; zero if another instance made the decision.
    pub(crate) crashes: usize,
    /// Time for which the part is quarantined.
    pub(crate) duration: Duration,
    /// Time at which a request with the part was last tried.
    pub(crate) tried_at: Option<MonotonicTime>,
}

impl QuarantineEntry {
    /// Time for which a part is quarantined at most.
    pub(crate) const MAX_DURATION: Duration = Duration::from_secs(600);

    /// Time for which a part is quarantined first if servers have answered requests with it before.
    ///
    /// Such a part may be quarantined by mistake while servers fail for another reason, and many
    /// requests may share it. The time doubles with each further quarantine.
    pub(crate) const SERVED_DURATION: Duration = Duration::from_secs(60);

    /// Returns whether a request with `parts`, of which this is one, would tell this part from another
    /// one that explains its crashes.
    pub(crate) fn is_distinguished_by(&self, parts: &[PartId]) -> bool {
        let mut alternatives = self.quarantined.alternatives.iter();
        alternatives.any(|part| !parts.contains(part))
    }
}
