//! Tests of the evidence about prompt parts that crash backend servers in status notices.

use hawthornquay_decisions::{
    AnswerStage, BackendName, CrashEvidence, MonotonicTime, PartId, PartStart, QuarantineUpdate,
    QuarantinedPart, SuspectedPart,
};
use hawthornquay_gateway::{quarantine_update, with_quarantine_update};
use hawthornquay_instances::{CrashRecord, Status};

fn ms(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn suspected(id: u64, cleared_by: AnswerStage) -> SuspectedPart {
    let id = PartId(id);
    SuspectedPart { id, cleared_by }
}

/// Returns evidence whose times are `after` later than those in the notice of the sender's test.
fn evidence(after: u64) -> QuarantineUpdate {
    QuarantineUpdate {
        crashes: vec![CrashEvidence {
            server: BackendName::new("s-1"),
            address: ([127, 0, 0, 1], 80).into(),
            at: ms(9_000 + after),
            parts: vec![
                suspected(1, AnswerStage::Begun),
                suspected(1, AnswerStage::Established),
                suspected(u64::MAX, AnswerStage::Running),
            ],
        }],
        starts: vec![PartStart {
            part: PartId(1),
            at: ms(9_500 + after),
            stage: AnswerStage::Running,
        }],
        quarantined: vec![QuarantinedPart {
            part: PartId(u64::MAX),
            first_crash_at: ms(2_000 + after),
            since: ms(8_000 + after),
            alternatives: vec![PartId(1), PartId(u64::MAX - 1)],
        }],
    }
}

/// Guards against times of the sender's clock that are read as times of the receiver's: they are
/// sent as ages, since each process has its own clock.
#[test]
fn quarantine_update_times_are_on_the_clock_of_the_receiver() {
    let sent = with_quarantine_update(Status::default(), ms(10_000), &evidence(0));
    assert_eq!(sent.crashes[0].age_ms, 1_000);
    assert_eq!(sent.part_starts[0].age_ms, 500);
    assert_eq!(sent.quarantined_parts[0].first_crash_age_ms, 8_000);
    assert_eq!(sent.quarantined_parts[0].age_ms, 2_000);
    let received = quarantine_update(&sent, ms(710_000));
    assert_eq!(received, evidence(700_000));
}

/// Guards against an age that exceeds the time since the start of the receiver's clock.
#[test]
fn quarantine_update_great_age_is_the_origin_of_the_clock() {
    let mut sent = with_quarantine_update(Status::default(), ms(10_000), &evidence(0));
    sent.crashes[0].age_ms = u64::MAX;
    let received = quarantine_update(&sent, ms(50));
    assert_eq!(received.crashes[0].at, MonotonicTime(0));
    assert_eq!(received.quarantined[0].since, MonotonicTime(0));
}

/// Guards against a time that lies in the future, for example because another thread has recorded
/// it meanwhile.
#[test]
fn with_quarantine_update_later_time_has_no_age() {
    let sent = with_quarantine_update(Status::default(), ms(1_000), &evidence(0));
    assert_eq!(sent.crashes[0].age_ms, 0);
}

/// Guards against one unreadable crash that hides the rest of a notice, and against parts that are
/// not in ascending order.
#[test]
fn quarantine_update_unreadable_crashes_are_left_out() {
    let crash = |server: &str, address: &str, parts: &[u64]| CrashRecord {
        server: server.to_owned(),
        address: address.to_owned(),
        age_ms: 5,
        parts: parts.to_vec(),
        ..CrashRecord::default()
    };
    let status = Status {
        crashes: vec![
            crash("s-1", "nowhere", &[1]),
            crash("s-2", "", &[1]),
            crash("", "127.0.0.1:80", &[1]),
            crash("s-3", "127.0.0.1:80", &[]),
            crash("s-4", "127.0.0.1:80", &[9, 2, 9]),
        ],
        ..with_quarantine_update(Status::default(), ms(10_000), &evidence(0))
    };
    let received = quarantine_update(&status, ms(10_000));
    assert_eq!(received.crashes.len(), 1);
    assert_eq!(received.crashes[0].server.as_str(), "s-4");
    // A sender that does not state the stages knows only requests whose answers had not begun.
    let parts = [
        suspected(2, AnswerStage::Begun),
        suspected(9, AnswerStage::Begun),
    ];
    assert_eq!(received.crashes[0].parts, parts);
    assert_eq!(received.starts, evidence(0).starts);
    assert_eq!(received.quarantined, evidence(0).quarantined);
}

/// Guards against a notice of an earlier version, without evidence, that changes what is known.
#[test]
fn quarantine_update_notice_without_evidence_is_empty() {
    let received = quarantine_update(&Status::default(), ms(10_000));
    assert!(received.is_empty());
    let sent = with_quarantine_update(Status::default(), ms(10_000), &QuarantineUpdate::default());
    assert_eq!(sent, Status::default());
}

/// Guards against evidence that replaces the other fields of a notice.
#[test]
fn with_quarantine_update_keeps_the_other_fields() {
    let status = Status {
        region: "home".to_owned(),
        servers_age_ms: 1_000,
        ..Status::default()
    };
    let sent = with_quarantine_update(status.clone(), ms(10_000), &evidence(0));
    assert_eq!(sent.region, status.region);
    assert_eq!(sent.servers_age_ms, status.servers_age_ms);
}
