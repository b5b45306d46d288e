//! Convergence of the member tables of a fleet.

mod member_support;

use std::time::Duration;

use hawthornquay_decisions::{InstanceState, MemberState};
use member_support::{Fleet, approximate_encoded_len};
use proptest::prelude::*;

/// Longer than the suspicion timeout of a former incarnation plus the time in which a new one
/// reaches all members.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
enum Event {
    Join,
    Crash(usize),
    Restart(usize),
    Leave(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::Join),
        2 => (0..9_usize).prop_map(Event::Crash),
        2 => (0..9_usize).prop_map(Event::Restart),
        1 => (0..9_usize).prop_map(Event::Leave),
    ]
}

fn apply(fleet: &mut Fleet, event: &Event) {
    match *event {
        Event::Join => fleet.join(),
        Event::Crash(index) if fleet.nodes.iter().filter(|node| node.running).count() > 3 => {
            fleet.crash(index);
        }
        Event::Crash(_) => {}
        Event::Restart(index) => fleet.restart(index),
        Event::Leave(index) => fleet.leave(index),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against views that never converge after joins, departures, crashes, restarts and lost
    /// digests.
    #[test]
    fn views_any_history_converge(
        seed: u64,
        loss_percent in 0..40_u32,
        events in prop::collection::vec((event(), 0..8_u64), 1..10),
    ) {
        let mut fleet = Fleet::new(9, 3, 3, seed);
        fleet.loss_percent = loss_percent;
        for (event, pause_s) in &events {
            apply(&mut fleet, event);
            fleet.run(*pause_s);
        }
        if let Err(difference) = fleet.run_until_converged(CONVERGENCE_TIMEOUT) {
            return Err(TestCaseError::fail(difference));
        }
    }

    /// Guards against a member that counts as gone because digests were lost or the instance list
    /// omitted it.
    #[test]
    fn views_without_gone_report_have_no_gone_member(
        seed: u64,
        loss_percent in 0..100_u32,
        crashed in prop::collection::vec(0..9_usize, 0..6),
        omitted in 0..9_usize,
    ) {
        let mut fleet = Fleet::new(9, 3, 3, seed);
        fleet.loss_percent = loss_percent;
        for index in crashed {
            fleet.crash(index);
        }
        let mut list = fleet.records.clone();
        list.remove(omitted);
        for _ in 0..60 {
            fleet.step(approximate_encoded_len);
            let now = fleet.now();
            for node in &mut fleet.nodes {
                node.table.apply_instance_list(now, &list);
            }
            for viewer in 0..9 {
                for of in 0..9 {
                    prop_assert_ne!(fleet.state(viewer, of), Some(MemberState::Gone));
                }
            }
        }
        prop_assert!(list.iter().all(|record| record.state == InstanceState::Live));
    }
}

/// Guards against a healed partition after which both sides suspect each other permanently, because
/// suspect members receive no regular digests.
#[test]
fn views_healed_partition_converge() {
    let mut fleet = Fleet::new(9, 3, 3, 5);
    fleet.run(20);
    fleet.isolated_domain = Some(1);
    fleet.run(60);
    assert_eq!(fleet.state(0, 1), Some(MemberState::Suspect));
    assert_eq!(fleet.state(1, 4), Some(MemberState::Live));
    fleet.isolated_domain = None;
    let converged = fleet.run_until_converged(CONVERGENCE_TIMEOUT);
    assert!(converged.is_ok(), "{converged:?}");
}

/// Guards against suspicion of live members in a large fleet, where a digest has room for few of
/// them.
#[test]
fn views_of_350_members_suspect_no_live_member() {
    let mut fleet = Fleet::new(350, 10, 3, 1);
    for index in 0..350 {
        fleet.set_loads(index, 2);
    }
    let mut longest = Duration::ZERO;
    for _ in 0..300 {
        fleet.step(approximate_encoded_len);
        if !fleet.now_s.is_multiple_of(5) {
            continue;
        }
        let now = fleet.now();
        for node in &fleet.nodes {
            for member in node.table.others() {
                let name = &member.record.name;
                let age = node.table.heartbeat_age(member, now);
                longest = longest.max(age);
                let state = node.table.state_of(member, now);
                assert_eq!(
                    state,
                    MemberState::Live,
                    "{name} is {state:?} after {age:?} without a heartbeat"
                );
            }
        }
    }
    println!("longest time without a heartbeat: {longest:?}");
}
