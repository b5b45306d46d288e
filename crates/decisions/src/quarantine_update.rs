//! Evidence about crashes that instances exchange.

use crate::{CrashEvidence, PartStart, QuarantinedPart};

/// Evidence about crashes of backend servers that an instance sends to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineUpdate {
    /// Crashes that the sender has learned of lately.
    pub crashes: Vec<CrashEvidence>,
    /// Answers that the sender has learned of lately to requests with suspected parts.
    pub starts: Vec<PartStart>,
    /// All parts in quarantine.
    pub quarantined: Vec<QuarantinedPart>,
}

impl QuarantineUpdate {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.starts.is_empty() && self.quarantined.is_empty()
    }
}
