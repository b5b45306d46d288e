//! Quarantine of prompt parts by the evidence of one instance.

mod quarantine_support;

use std::time::Duration;

use hawthornquay_decisions::{PartId, QuarantineChange};
use quarantine_support::{DECISION_MS, Instance, ids};

const FIRST_PART: u64 = 1;
const SUBJECT_PART: u64 = 2;
const CRASHING_PART: u64 = 100;
const OTHER_CRASHING: u64 = 101;
const QUARANTINE_MS: u64 = 600_000;

/// Guards against a crashing part that is found late or not at all, and against the loss of all requests
/// that share the first part or a popular subject with it.
#[test]
fn crash_shared_parts_only_crashing_quarantined() {
    let mut instance = Instance::new();
    for server in 0..3 {
        instance.crash(server, &[FIRST_PART, CRASHING_PART]);
        instance.crash(server, &[FIRST_PART, SUBJECT_PART]);
        instance
            .serve(500)
            .start(&[FIRST_PART, SUBJECT_PART])
            .serve(500);
    }
    instance.serve(DECISION_MS - 1_000);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
    let quarantined = QuarantineChange::Quarantined {
        part: PartId(CRASHING_PART),
        crashes: 3,
    };
    assert_eq!(instance.changes, [quarantined]);
}

/// Guards against a decision on two crashes, which two unrelated failures may cause.
#[test]
fn crash_two_crashes_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..2 {
        instance
            .crash(server, &[FIRST_PART, CRASHING_PART])
            .serve(1_000);
    }
    instance.serve(20_000);
    assert!(instance.quarantined().is_empty());
}

/// Guards against a decision before answers that began at other instances can have arrived.
#[test]
fn crash_evidence_in_transit_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..3 {
        instance.serve(500).crash(server, &[CRASHING_PART]);
    }
    instance.serve(1_800);
    assert!(instance.quarantined().is_empty());
    instance.serve(DECISION_MS - 1_800);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a part that was on a killed server and is quarantined although a retry succeeded.
#[test]
fn kill_part_served_elsewhere_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..12 {
        instance
            .crash(server, &[FIRST_PART, SUBJECT_PART])
            .serve(200);
        instance.start(&[FIRST_PART, SUBJECT_PART]).serve(800);
    }
    instance.serve(5_000);
    assert!(instance.changes.is_empty());
}

/// Guards against a rack that fails at one moment and counts as many crashes of its requests.
#[test]
fn kill_rack_at_one_moment_not_quarantined() {
    let mut instance = Instance::new();
    instance.serve(1_000);
    for server in 0..30 {
        instance.crash(server, &[FIRST_PART, SUBJECT_PART]);
        instance.now += 9;
    }
    instance.serve(20_000);
    assert!(instance.changes.is_empty());
}

/// Guards against the quarantine of what a failing server was asked for.
#[test]
fn flapping_one_server_not_quarantined() {
    let mut instance = Instance::new();
    for start in 0..4 {
        // The server has the same address after each start.
        instance
            .crash(start * 100, &[FIRST_PART, SUBJECT_PART])
            .serve(1_000);
    }
    instance.serve(10_000);
    assert!(instance.changes.is_empty());
}

/// Guards against a crashing part that is never found where the service has one server.
#[test]
fn crash_service_with_one_server_quarantined() {
    let mut instance = Instance::new();
    for start in 0..5 {
        instance
            .crash(start * 100, &[FIRST_PART, CRASHING_PART])
            .serve(1_500);
        instance.start(&[FIRST_PART]).serve(1_500);
    }
    instance.serve(DECISION_MS - 1_500);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against the quarantine of healthy parts while no server answers anything.
#[test]
fn outage_no_answers_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..7 {
        instance
            .crash(server, &[FIRST_PART, SUBJECT_PART])
            .wait(1_000);
    }
    instance.wait(10_000);
    assert!(instance.changes.is_empty());
}

/// Guards against an innocent request that waits on the crashed servers beside the crashing one.
#[test]
fn crash_several_requests_only_crashing_quarantined() {
    let mut instance = Instance::new();
    for server in 0..4_u16 {
        instance.crash(server, &[FIRST_PART, CRASHING_PART]);
        for other in 0..6 {
            let subject = 10 + u64::from(4 * server + other) % 13;
            instance.crash(server, &[FIRST_PART, subject]);
        }
        instance.serve(400).start(&[FIRST_PART]).serve(300);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against the quarantine of a part that was served well before, where a new part was on the
/// same servers.
#[test]
fn tie_part_served_before_not_quarantined() {
    let mut instance = Instance::new();
    instance.start(&[FIRST_PART, SUBJECT_PART]).serve(500);
    for server in 0..5 {
        instance
            .crash(server, &[SUBJECT_PART, CRASHING_PART])
            .serve(600);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a part that became crashing only after it had been served.
#[test]
fn crash_part_served_before_quarantined() {
    let mut instance = Instance::new();
    instance.start(&[FIRST_PART, CRASHING_PART]).serve(500);
    for server in 0..3 {
        instance
            .crash(server, &[FIRST_PART, CRASHING_PART])
            .serve(500);
        instance.start(&[FIRST_PART]).serve(500);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against an arbitrary choice between parts that always occur together, and against no
/// decision at all.
#[test]
fn tie_inseparable_parts_quarantined_after_five() {
    let mut instance = Instance::new();
    for server in 0..4 {
        instance
            .crash(server, &[CRASHING_PART, OTHER_CRASHING])
            .serve(1_000);
    }
    instance.serve(10_000);
    assert!(instance.quarantined().is_empty());
    instance.crash(4, &[CRASHING_PART, OTHER_CRASHING]);
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART, OTHER_CRASHING]);
}

/// Guards against a second crashing part that the crashes of the first one hide.
#[test]
fn crash_two_crashing_parts_both_quarantined() {
    let mut instance = Instance::new();
    for pair in 0..5 {
        instance
            .crash(2 * pair, &[FIRST_PART, CRASHING_PART])
            .serve(400);
        instance.crash(2 * pair + 1, &[FIRST_PART, OTHER_CRASHING]);
        instance.serve(200).start(&[FIRST_PART]).serve(200);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART, OTHER_CRASHING]);
}

/// Guards against the quarantine of parts that wait beside a crashing one that is known already.
#[test]
fn crash_explained_by_known_part_not_quarantined() {
    let mut instance = Instance::new();
    instance.quarantine(CRASHING_PART, 0);
    for server in 3..10 {
        instance.crash(server, &[FIRST_PART, SUBJECT_PART, CRASHING_PART]);
        instance.serve(600);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against the quarantine of a healthy part that is in three of many crashes by chance.
#[test]
fn kill_many_servers_part_in_few_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..16_u16 {
        let subject = 10 + u64::from(server) % 5;
        instance.crash(server, &[subject]).serve(400);
    }
    instance.serve(10_000);
    assert!(instance.changes.is_empty());
}

/// Guards against the quarantine of a healthy part while another one is as suspicious, which shows that
/// requests were on failing servers several times by chance.
#[test]
fn kill_other_suspect_not_quarantined() {
    let mut instance = Instance::new();
    for server in 0..5_u16 {
        let subject = 10 + u64::from(server) % 2;
        instance.crash(server, &[subject]).serve(600);
    }
    instance.serve(10_000);
    assert!(instance.changes.is_empty());
}

/// Guards against a crashing part that ends more servers in a second than are kept, so that no kept
/// crash is old enough for a decision.
#[test]
fn crash_hundreds_a_second_quarantined() {
    let mut instance = Instance::new();
    let mut server = 0;
    for _ in 0..36 {
        for _ in 0..30 {
            instance.crash(
                server,
                &[FIRST_PART, CRASHING_PART, 1_000 + u64::from(server)],
            );
            server += 1;
        }
        instance.start(&[FIRST_PART]).serve(100);
    }
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a quarantine of the wrong part, or without an end.
#[test]
fn quarantined_several_parts_first_and_remaining() {
    let mut instance = Instance::new();
    instance
        .quarantine(CRASHING_PART, 0)
        .quarantine(OTHER_CRASHING, 10);
    let parts = ids(&[FIRST_PART, OTHER_CRASHING, CRASHING_PART]);
    let (part, remaining) = instance
        .quarantine
        .quarantined(instance.clock(), &parts)
        .unwrap();
    assert_eq!(part, PartId(OTHER_CRASHING));
    assert!(remaining <= Duration::from_millis(QUARANTINE_MS));
    assert!(remaining > Duration::from_millis(QUARANTINE_MS - 10_000));
    let healthy = ids(&[FIRST_PART, SUBJECT_PART]);
    let found = instance.quarantine.quarantined(instance.clock(), &healthy);
    assert_eq!(found, None);
}

/// Guards against a quarantine that never ends.
#[test]
fn expiry_after_ten_minutes_released() {
    let mut instance = Instance::new();
    instance.quarantine(CRASHING_PART, 0);
    instance.changes.clear();
    instance.wait(QUARANTINE_MS);
    assert!(instance.quarantined().is_empty());
    assert_eq!(
        instance.changes,
        [QuarantineChange::Released(PartId(CRASHING_PART))]
    );
}

/// Guards against a popular part that is refused for long after servers failed for another reason: a
/// part that was served before is tried again after a minute, and later each time that it crashes.
#[test]
fn expiry_of_part_served_before_comes_early() {
    let mut instance = Instance::new();
    instance.start(&[FIRST_PART]).wait(100);
    instance.quarantine(FIRST_PART, 0);
    assert!(instance.remaining(FIRST_PART).unwrap() <= Duration::from_secs(60));
    instance.wait(60_000);
    assert!(!instance.is_quarantined(FIRST_PART));
    instance.crash(50, &[FIRST_PART]).evaluate();
    let again = instance.remaining(FIRST_PART).unwrap();
    assert_eq!(again.as_secs(), 120);
    instance.wait(120_000);
    instance
        .start(&[FIRST_PART])
        .crash(51, &[FIRST_PART])
        .evaluate();
    assert!(!instance.is_quarantined(FIRST_PART));
}

/// Guards against three further crashes each time that the quarantine of a crashing part expires.
#[test]
fn probation_next_crash_quarantined() {
    let mut instance = Instance::new();
    instance.quarantine(CRASHING_PART, 0).wait(QUARANTINE_MS);
    assert!(!instance.is_quarantined(CRASHING_PART));
    instance.crash(50, &[FIRST_PART, CRASHING_PART]).evaluate();
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a part that has proved healthy and is quarantined again for one crash.
#[test]
fn probation_part_served_not_quarantined() {
    let mut instance = Instance::new();
    instance.quarantine(CRASHING_PART, 0).wait(QUARANTINE_MS);
    instance.start(&[CRASHING_PART]).serve(1_000);
    instance
        .crash(50, &[FIRST_PART, CRASHING_PART])
        .serve(10_000);
    assert!(instance.quarantined().is_empty());
}

/// Guards against a part on probation that is blamed for a crash of another, quarantined one.
#[test]
fn probation_crash_explained_not_quarantined() {
    let mut instance = Instance::new();
    instance.quarantine(SUBJECT_PART, 0).wait(QUARANTINE_MS);
    instance.quarantine(CRASHING_PART, 10);
    instance
        .crash(50, &[SUBJECT_PART, CRASHING_PART])
        .serve(5_000);
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a healthy part that stays in quarantine although it was served.
#[test]
fn start_quarantined_part_released() {
    let mut instance = Instance::new();
    instance.quarantine(SUBJECT_PART, 0);
    instance.changes.clear();
    instance.start(&[SUBJECT_PART]);
    assert!(!instance.is_quarantined(SUBJECT_PART));
    instance.evaluate().serve(5_000);
    assert_eq!(
        instance.changes,
        [QuarantineChange::Released(PartId(SUBJECT_PART))]
    );
}

/// Guards against a crashing part that is not found since evidence from before a release is missing or
/// counts no more.
#[test]
fn release_further_crashes_quarantined() {
    let mut instance = Instance::new();
    instance.quarantine(CRASHING_PART, 0);
    instance.start(&[CRASHING_PART]).serve(1_000);
    instance.quarantine(CRASHING_PART, 10);
}

/// Guards against quarantines without bound; the oldest ends first.
#[test]
fn capacity_forty_parts_newest_kept() {
    let mut instance = Instance::new();
    for index in 0..40 {
        instance.quarantine(CRASHING_PART + u64::from(index), 10 * index);
        instance.wait(1_000);
    }
    let expected: Vec<u64> = (CRASHING_PART + 8..CRASHING_PART + 40).collect();
    assert_eq!(instance.quarantined(), expected);
}

/// Guards against state that grows with the number of different parts, in starts and in crashes.
#[test]
fn bounds_million_distinct_parts_small_state() {
    let mut instance = Instance::new();
    let mut part = 1_000;
    let mut largest = 0;
    for server in 0..500 {
        let mut parts: Vec<u64> = (part..part + 1_000).collect();
        part += 1_000;
        instance.crash(server, &parts);
        for _ in 0..1_000 {
            parts = vec![part, part + 1];
            part += 1;
            instance.start(&parts);
        }
        instance.now += 20;
        instance.evaluate();
        if server % 50 == 49 {
            largest = largest.max(format!("{:?}", instance.quarantine).len());
        }
    }
    assert!(part > 1_000_000);
    // 64 crashes of 256 parts, the time of each part, and 2,048 starts, at up to 130 bytes in text.
    assert!(largest < (64 * 256 * 2 + 2_048) * 130, "{largest} bytes");
    assert!(instance.quarantined().is_empty());
}
