//! Convergence of the member views of a fleet.

mod member_support;

use std::time::Duration;

use hawthornquay_decisions::{InstanceState, MemberState};
use member_support::{Fleet, rough_len};
use proptest::prelude::*;

/// Longer than the suspicion of a former incarnation and the spread of a new one.
const AMPLE: Duration = Duration::from_secs(120);

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
        Event::Crash(index) if fleet.nodes.iter().filter(|n| n.running).count() > 3 => {
            fleet.crash(index);
        }
        Event::Crash(_) => {}
        Event::Restart(index) => fleet.restart(index),
        Event::Leave(index) => fleet.leave(index),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against views that never agree after joins, departures, crashes and lost digests.
    #[test]
    fn views_any_history_converge(
        seed: u64,
        loss in 0..40_u32,
        events in prop::collection::vec((event(), 0..8_u64), 1..10),
    ) {
        let mut fleet = Fleet::new(9, 3, 3, seed);
        fleet.loss_percent = loss;
        for (event, pause) in &events {
            apply(&mut fleet, event);
            fleet.run(*pause);
        }
        if let Err(disagreement) = fleet.run_until_agreed(AMPLE) {
            return Err(TestCaseError::fail(disagreement));
        }
    }

    /// Guards against a member declared gone because digests were lost or the list omitted it.
    #[test]
    fn views_without_the_list_declare_nobody_gone(
        seed: u64,
        loss in 0..100_u32,
        crashed in prop::collection::vec(0..9_usize, 0..6),
        omitted in 0..9_usize,
    ) {
        let mut fleet = Fleet::new(9, 3, 3, seed);
        fleet.loss_percent = loss;
        for index in crashed {
            fleet.crash(index);
        }
        let mut list = fleet.records.clone();
        list.remove(omitted);
        for _ in 0..60 {
            fleet.step(rough_len);
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

/// Guards against a partition after which both sides suspect each other for good.
#[test]
fn views_healed_partition_converge() {
    let mut fleet = Fleet::new(9, 3, 3, 5);
    fleet.run(20);
    fleet.cut_domain = Some(1);
    fleet.run(60);
    assert_eq!(fleet.state(0, 1), Some(MemberState::Suspect));
    assert_eq!(fleet.state(1, 4), Some(MemberState::Live));
    fleet.cut_domain = None;
    let took = fleet.run_until_agreed(AMPLE);
    assert!(took.is_ok(), "{took:?}");
}

/// Guards against live members of a large fleet who are suspect because a digest has little room.
#[test]
fn views_350_members_suspect_no_live_one() {
    let mut fleet = Fleet::new(350, 10, 3, 1);
    for index in 0..350 {
        fleet.set_loads(index, 2);
    }
    let mut longest = Duration::ZERO;
    for _ in 0..300 {
        fleet.step(rough_len);
        if !fleet.second.is_multiple_of(5) {
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
                    "{name} without progress for {age:?}"
                );
            }
        }
    }
    println!("longest time without progress: {longest:?}");
}
