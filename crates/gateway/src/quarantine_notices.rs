//! Evidence about prompt parts that crash backend servers in status notices.

use hawthornquay_decisions::{
    AnswerStage, CrashEvidence, MonotonicTime, PartId, PartStart, QuarantineUpdate,
    QuarantinedPart, SuspectedPart,
};
use hawthornquay_instances::{CrashRecord, PartStartRecord, QuarantineRecord, Status};

use crate::wire_views::{millis, time_before};

/// Returns `status` with the evidence in `update`; `now` is the time at which it is sent.
pub fn with_quarantine_update(
    status: Status,
    now: MonotonicTime,
    update: &QuarantineUpdate,
) -> Status {
    let age = |at| millis(now.since(at));
    let crashes = update.crashes.iter().map(|crash| CrashRecord {
        server: crash.server.to_string(),
        address: crash.address.to_string(),
        age_ms: age(crash.at),
        parts: crash.parts.iter().map(|part| part.id.0).collect(),
        stages: crash
            .parts
            .iter()
            .map(|part| stage_number(part.cleared_by))
            .collect(),
    });
    let part_starts = update.starts.iter().map(|start| PartStartRecord {
        part: start.part.0,
        age_ms: age(start.at),
        stage: stage_number(start.stage),
    });
    let quarantined_parts = update.quarantined.iter().map(|one| QuarantineRecord {
        part: one.part.0,
        first_crash_age_ms: age(one.first_crash_at),
        age_ms: age(one.since),
        alternatives: one.alternatives.iter().map(|part| part.0).collect(),
    });
    Status {
        crashes: crashes.collect(),
        part_starts: part_starts.collect(),
        quarantined_parts: quarantined_parts.collect(),
        ..status
    }
}

/// Returns the evidence in a status notice that arrived at `now`, without the crashes whose server
/// or address cannot be read.
pub fn quarantine_update(status: &Status, now: MonotonicTime) -> QuarantineUpdate {
    let starts = status.part_starts.iter().map(|start| PartStart {
        part: PartId(start.part),
        at: time_before(now, start.age_ms),
        stage: stage(start.stage),
    });
    let quarantined = status.quarantined_parts.iter().map(|one| QuarantinedPart {
        part: PartId(one.part),
        first_crash_at: time_before(now, one.first_crash_age_ms),
        since: time_before(now, one.age_ms),
        alternatives: one.alternatives.iter().copied().map(PartId).collect(),
    });
    QuarantineUpdate {
        crashes: status
            .crashes
            .iter()
            .filter_map(|crash| crash_evidence(crash, now))
            .collect(),
        starts: starts.collect(),
        quarantined: quarantined.collect(),
    }
}

fn crash_evidence(record: &CrashRecord, now: MonotonicTime) -> Option<CrashEvidence> {
    if record.server.is_empty() || record.parts.is_empty() {
        return None;
    }
    let stages = record.stages.iter().copied().chain(std::iter::repeat(0));
    let parts = record.parts.iter().zip(stages);
    let mut parts: Vec<SuspectedPart> = parts
        .map(|(part, number)| SuspectedPart {
            id: PartId(*part),
            cleared_by: stage(number),
        })
        .collect();
    parts.sort_unstable();
    parts.dedup();
    Some(CrashEvidence {
        server: record.server.as_str().into(),
        address: record.address.parse().ok()?,
        at: time_before(now, record.age_ms),
        parts,
    })
}

fn stage_number(stage: AnswerStage) -> u32 {
    u32::try_from(stage.index()).unwrap_or(u32::MAX)
}

/// Returns the stage of a number; an unknown one of a later version is taken for the last.
fn stage(number: u32) -> AnswerStage {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    let stage = AnswerStage::ALL.get(index).copied();
    stage.unwrap_or(AnswerStage::Established)
}
