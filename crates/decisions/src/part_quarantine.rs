//! Quarantine of prompt parts that crash backend servers.

use std::{net::SocketAddr, time::Duration};

use crate::{
    BackendName, EvidenceScope, MonotonicTime, PartId, QuarantineChange, QuarantineUpdate,
};

/// Finds the prompt parts that crash backend servers, from the evidence of all instances.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {}

impl PartQuarantine {
    /// Records that `server` crashed while it had not begun to answer a request with `parts`.
    ///
    /// Several requests may fail with the same crash; each of them is recorded.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        server: &BackendName,
        address: SocketAddr,
        parts: &[PartId],
    ) {
        let _ = (now, server, address, parts);
    }

    /// Records that a backend server began to answer a request with `parts`.
    pub fn record_start(&mut self, now: MonotonicTime, parts: &[PartId]) {
        let _ = (now, parts);
    }

    /// Adds the evidence of another instance.
    pub fn apply_update(&mut self, now: MonotonicTime, update: &QuarantineUpdate) {
        let _ = (now, update);
    }

    /// Returns what was learned lately, to be sent to other instances, and all quarantined parts.
    pub fn update(&self, now: MonotonicTime, scope: EvidenceScope) -> QuarantineUpdate {
        let _ = (now, scope);
        QuarantineUpdate::default()
    }

    /// Decides anew which parts are quarantined, and returns the changes since the last call.
    pub fn evaluate(&mut self, now: MonotonicTime) -> Vec<QuarantineChange> {
        let _ = now;
        Vec::new()
    }

    /// Returns the first of `parts` that is quarantined, and the time until its quarantine ends.
    pub fn quarantined(&self, now: MonotonicTime, parts: &[PartId]) -> Option<(PartId, Duration)> {
        let _ = (now, parts);
        None
    }
}
