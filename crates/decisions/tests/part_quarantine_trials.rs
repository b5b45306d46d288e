//! Trials of requests that tell quarantined prompt parts apart.

mod quarantine_support;

use std::time::Duration;

use hawthornquay_decisions::{EvidenceScope, PartId, PartVerdict};
use quarantine_support::{DECISION_MS, Instance, ids};

const FIRST_PART: u64 = 1;
const SECOND_PART: u64 = 2;
const CRASHING_PART: u64 = 100;
const OTHER_CRASHING: u64 = 101;

/// Returns an instance that has quarantined `parts`, which are all in the same crashes.
fn undecided(parts: &[u64]) -> Instance {
    let mut instance = Instance::new();
    for server in 0..5 {
        instance.crash(server, parts).serve(1_000);
    }
    instance.serve(DECISION_MS);
    assert_eq!(instance.quarantined(), parts);
    instance
}

fn verdict(instance: &Instance, parts: &[u64]) -> PartVerdict {
    instance.quarantine.verdict(instance.clock(), &ids(parts))
}

fn is_refused(instance: &Instance, parts: &[u64]) -> bool {
    matches!(verdict(instance, parts), PartVerdict::Refused { .. })
}

fn begin_trial(instance: &mut Instance, parts: &[u64]) -> bool {
    let now = instance.clock();
    instance.quarantine.begin_trial(now, &ids(parts))
}

/// Returns another instance with the quarantines of `sender`.
fn informed_by(sender: &Instance) -> Instance {
    let mut receiver = Instance::at(500_000);
    receiver.receive(sender, EvidenceScope::All, 0);
    assert_eq!(receiver.quarantined(), sender.quarantined());
    receiver
}

/// Guards against the loss of all requests that share a part with those that crash servers: the caller's
/// sound requests had paused, so that no answer told the part from the crashing one, and no request was
/// let through that would have.
#[test]
fn trial_answered_ends_quarantine() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    assert!(is_refused(&instance, &[FIRST_PART, CRASHING_PART]));
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
    instance.start(&[FIRST_PART]).evaluate();
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
    assert_eq!(verdict(&instance, &[FIRST_PART]), PartVerdict::Accepted);
    // Nothing else explains the crashes of the other part any more.
    assert!(is_refused(&instance, &[CRASHING_PART]));
}

/// Guards against further crashes by requests that come while the answer of the first is awaited.
#[test]
fn trial_one_at_a_time() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
    assert!(!begin_trial(&mut instance, &[FIRST_PART]));
    let PartVerdict::Trial { part, possible_in } = verdict(&instance, &[FIRST_PART]) else {
        panic!("refused for good");
    };
    assert_eq!(part, PartId(FIRST_PART));
    assert!(!possible_in.is_zero() && possible_in <= Duration::from_secs(2));
    instance.serve(2_000);
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
}

/// Guards against trials without end of a part that crashes servers: two at most are allowed to crash one.
#[test]
fn trial_crashes_refused() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    assert!(begin_trial(&mut instance, &[CRASHING_PART]));
    instance.crash(10, &[CRASHING_PART]).serve(2_000);
    assert!(begin_trial(&mut instance, &[CRASHING_PART]));
    instance.crash(11, &[CRASHING_PART]).serve(100);
    assert!(is_refused(&instance, &[CRASHING_PART]));
    instance.serve(100_000);
    assert!(is_refused(&instance, &[CRASHING_PART]));
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
}

/// Guards against a trial right after the crash of another one, whose requests may crash a server as well.
#[test]
fn trial_crash_at_other_instance_delays_trial() {
    let instance = undecided(&[FIRST_PART, CRASHING_PART]);
    let mut other = informed_by(&instance);
    let mut first = instance;
    assert!(begin_trial(&mut first, &[CRASHING_PART]));
    first.crash(10, &[CRASHING_PART]);
    other.receive(&first, EvidenceScope::All, 0);
    assert!(!begin_trial(&mut other, &[CRASHING_PART]));
    other.serve(2_000);
    assert!(begin_trial(&mut other, &[CRASHING_PART]));
}

/// Guards against a trial that tells nothing: a request with all parts that are in the crashes.
#[test]
fn trial_of_all_parts_refused() {
    let mut instance = undecided(&[FIRST_PART, SECOND_PART, CRASHING_PART]);
    assert!(is_refused(
        &instance,
        &[FIRST_PART, SECOND_PART, CRASHING_PART]
    ));
    assert!(begin_trial(&mut instance, &[FIRST_PART, SECOND_PART]));
    instance.start(&[FIRST_PART, SECOND_PART]).evaluate();
    assert_eq!(instance.quarantined(), [CRASHING_PART]);
}

/// Guards against a trial with a part that other answers have shown to crash servers.
#[test]
fn trial_with_decided_part_refused() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    instance.quarantine(OTHER_CRASHING, 20);
    assert!(is_refused(&instance, &[FIRST_PART, OTHER_CRASHING]));
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
}

/// Guards against an instance that has seen none of the crashes and refuses sound requests for good, since
/// it does not know which parts are undecided.
#[test]
fn trial_at_instance_without_crashes_ends_quarantine_everywhere() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    // The crashes are too old to be sent; a new instance learns of the quarantines only.
    instance.wait(20_000);
    let mut other = informed_by(&instance);
    assert!(is_refused(&other, &[FIRST_PART, CRASHING_PART]));
    assert!(begin_trial(&mut other, &[FIRST_PART]));
    other.start(&[FIRST_PART]).evaluate();
    instance.receive(&other, EvidenceScope::All, 0);
    for one in [&instance, &other] {
        assert_eq!(one.quarantined(), [CRASHING_PART]);
        assert!(is_refused(one, &[CRASHING_PART]));
    }
}

/// Guards against trials of a part at one instance although another one knows that it crashes servers.
#[test]
fn trial_part_decided_elsewhere_refused() {
    let instance = undecided(&[FIRST_PART, CRASHING_PART]);
    let mut other = informed_by(&instance);
    let mut informed = instance;
    informed.start(&[FIRST_PART]).evaluate();
    other.receive(&informed, EvidenceScope::All, 0);
    assert!(is_refused(&other, &[CRASHING_PART]));
}

/// Guards against a part that is quarantined again with the crashing one after both were on probation, and
/// is refused for good then.
#[test]
fn trial_after_probation_possible() {
    let mut instance = undecided(&[FIRST_PART, CRASHING_PART]);
    instance.wait(600_000);
    assert!(instance.quarantined().is_empty());
    instance.crash(50, &[FIRST_PART, CRASHING_PART]).evaluate();
    assert_eq!(instance.quarantined(), [FIRST_PART, CRASHING_PART]);
    assert!(is_refused(&instance, &[FIRST_PART, CRASHING_PART]));
    instance.serve(2_000);
    assert!(begin_trial(&mut instance, &[FIRST_PART]));
}
