//! Crash of a backend server as an instance has learned of it.

use crate::{CrashEvidence, EvidenceScope, MonotonicTime};

/// Crash of a backend server, with the times at which this instance learned of it.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    pub(crate) evidence: CrashEvidence,
    /// Time at which this instance first learned of the crash.
    pub(crate) learned_at: MonotonicTime,
    /// Time at which this instance last learned of a part, from anyone.
    pub(crate) grown_at: MonotonicTime,
    /// Time at which a request of this instance last added a part.
    pub(crate) seen_at: Option<MonotonicTime>,
}

impl CrashRecord {
    /// Returns when the record last changed for receivers of `scope`.
    pub(crate) fn sent_from(&self, scope: EvidenceScope) -> Option<MonotonicTime> {
        match scope {
            EvidenceScope::Local => self.seen_at,
            EvidenceScope::All => Some(self.grown_at),
        }
    }
}
