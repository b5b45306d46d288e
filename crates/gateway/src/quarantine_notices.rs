//! Evidence about prompt parts that crash backend servers in status notices.

use hawthornquay_decisions::{
    CrashEvidence, MonotonicTime, PartId, PartStart, QuarantineUpdate, QuarantinedPart,
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
        parts: crash.parts.iter().map(|part| part.0).collect(),
    });
    let part_starts = update.starts.iter().map(|start| PartStartRecord {
        part: start.part.0,
        age_ms: age(start.at),
    });
    let quarantined_parts = update.quarantined.iter().map(|one| QuarantineRecord {
        part: one.part.0,
        first_crash_age_ms: age(one.first_crash_at),
        age_ms: age(one.since),
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
    });
    let quarantined = status.quarantined_parts.iter().map(|one| QuarantinedPart {
        part: PartId(one.part),
        first_crash_at: time_before(now, one.first_crash_age_ms),
        since: time_before(now, one.age_ms),
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
    let mut parts: Vec<PartId> = record.parts.iter().map(|part| PartId(*part)).collect();
    parts.sort_unstable();
    parts.dedup();
    Some(CrashEvidence {
        server: record.server.as_str().into(),
        address: record.address.parse().ok()?,
        at: time_before(now, record.age_ms),
        parts,
    })
}
