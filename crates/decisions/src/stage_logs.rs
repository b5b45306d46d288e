//! Logs of the latest answers by prompt part, one for each stage that answers reach.

use std::time::Duration;

use crate::{
    AnswerStage, CrashEvidence, EvidenceScope, MonotonicTime, PartId, PartStart, SuspectedPart,
    crash_log::CrashLog, crash_record::CrashRecord, start_log::StartLog,
};

/// Logs of the latest answers by prompt part. An answer is in the log of each stage that it has reached.
#[derive(Clone, Debug)]
pub(crate) struct StageLogs {
    logs: [StartLog; AnswerStage::ALL.len()],
}

impl Default for StageLogs {
    fn default() -> Self {
        Self {
            logs: AnswerStage::ALL.map(StartLog::new),
        }
    }
}

impl StageLogs {
    pub(crate) const fn log(&self, stage: AnswerStage) -> &StartLog {
        &self.logs[stage.index()]
    }

    /// Returns when the latest answer began that shows that servers bear `part`, whatever it did to
    /// them before.
    pub(crate) fn served_at(&self, part: PartId) -> Option<MonotonicTime> {
        self.log(AnswerStage::Established).at(part)
    }

    /// Returns whether an answer has cleared a part of a crash at `crash_at`.
    pub(crate) fn clears(&self, part: SuspectedPart, crash_at: MonotonicTime) -> bool {
        self.log(part.cleared_by).clears(part.id, crash_at)
    }

    /// Returns the parts of a crash that no answer has cleared since.
    pub(crate) fn suspected<'a>(
        &'a self,
        crash: &'a CrashEvidence,
    ) -> impl Iterator<Item = SuspectedPart> + 'a {
        let parts = crash.parts.iter().copied();
        parts.filter(|&part| !self.clears(part, crash.at))
    }

    /// Returns whether no answer has cleared `part` since a crash.
    pub(crate) fn is_suspected(&self, part: PartId, crash: &CrashEvidence) -> bool {
        self.suspected(crash).any(|one| one.id == part)
    }

    /// Returns those of `crashes` for which `part` is suspected and that do not contain `other`.
    pub(crate) fn crashes_without<'a>(
        &'a self,
        crashes: &'a CrashLog,
        part: PartId,
        other: PartId,
    ) -> impl Iterator<Item = &'a CrashRecord> {
        crashes.records().iter().filter(move |record| {
            !record.evidence.has_part(other) && self.is_suspected(part, &record.evidence)
        })
    }

    /// Counts an answer to a request with any parts that has reached `stage`, but had not before.
    pub(crate) fn count_one(&mut self, stage: AnswerStage, at: MonotonicTime) {
        self.logs[stage.index()].count_one(at);
    }

    /// Records that an answer of this instance, which began at `at`, has reached `stage`.
    pub(crate) fn record_own(&mut self, now: MonotonicTime, start: &PartStart, crashes: &CrashLog) {
        for log in &mut self.logs[..=start.stage.index()] {
            log.record_own(now, start.part, start.at, crashes);
        }
    }

    /// Records an answer that another instance has reported.
    pub(crate) fn record_received(
        &mut self,
        now: MonotonicTime,
        start: &PartStart,
        crashes: &CrashLog,
    ) {
        for log in &mut self.logs[..=start.stage.index()] {
            log.record_received(now, start, crashes);
        }
    }

    /// Announces own answers after a crash at `crash_at` that others do not know yet.
    pub(crate) fn announce_later_than(
        &mut self,
        now: MonotonicTime,
        parts: &[SuspectedPart],
        crash_at: MonotonicTime,
    ) {
        for log in &mut self.logs {
            log.announce_later_than(now, parts, crash_at);
        }
    }

    /// Announces the answer that ended a quarantine, so that others end theirs.
    pub(crate) fn announce(&mut self, now: MonotonicTime, part: PartId, at: MonotonicTime) {
        self.logs[AnswerStage::Established.index()].announce(now, part, at);
    }

    /// Returns the answers that are sent from within `window` before `now`.
    pub(crate) fn recent(
        &self,
        now: MonotonicTime,
        window: Duration,
        scope: EvidenceScope,
    ) -> Vec<PartStart> {
        let logs = self.logs.iter();
        logs.flat_map(|log| log.recent(now, window, scope))
            .collect()
    }

    /// Removes all answers that are neither recent nor with a part of a crash.
    pub(crate) fn expire(&mut self, now: MonotonicTime, crashes: &CrashLog) {
        for log in &mut self.logs {
            log.expire(now, crashes);
        }
    }
}
