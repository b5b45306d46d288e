//! Tests of slots whose store came back from an older copy.

mod limit_fixture;

use std::time::Duration;

use hawthornquay_decisions::{
    Bundle, DomainName, InstanceId, InstanceRecord, InstanceState, LimitTable, SlotIndex,
    SlotRules, SlotSnapshot,
};
use limit_fixture::{BundleBuilder, millis, org, record, snapshot};

fn bundle() -> Bundle {
    BundleBuilder::new(1, &[1])
        .organisation("a", 100, 1_000)
        .build()
}

fn table(id: &InstanceId) -> LimitTable {
    let mut table = LimitTable::new(id.clone(), "d0".into());
    table.adopt_bundle(&bundle(), millis(0));
    table
}

fn rules(instances: &[InstanceRecord]) -> SlotRules<'_> {
    SlotRules {
        instances,
        list_lag: Duration::ZERO,
        address: ([127, 0, 0, 1], 1).into(),
        uptime: Duration::from_secs(60),
    }
}

/// Returns a snapshot in `era` at `revision` in which `holder` has all slots.
fn held_by(holder: &InstanceId, era: u64, revision: u64) -> SlotSnapshot {
    let mut held = snapshot(revision, &[("d0", holder, 1)]);
    held.revision.era = era;
    held
}

/// Returns the holders that the plan of an instance names.
fn planned(table: &mut LimitTable, instances: &[InstanceRecord]) -> Option<Vec<InstanceId>> {
    let entry = table.plan_slots(&rules(instances), millis(100))?;
    let records = entry.slots.into_values();
    Some(records.map(|record| record.holder).collect())
}

/// Guards against two holders of one slot, both of which spend: the lost history gave it from one to
/// the other, and the copy of the store attributes it to the first again.
#[test]
fn slot_moved_in_lost_history_stays_with_its_last_holder() {
    let (former, last) = (InstanceId::new("former", 1), InstanceId::new("last", 1));
    let (mut first, mut second) = (table(&former), table(&last));
    first.adopt_slots(held_by(&former, 0, 1), millis(0));
    second.adopt_slots(held_by(&former, 0, 1), millis(0));
    first.adopt_slots(held_by(&last, 0, 9), millis(0));
    second.adopt_slots(held_by(&last, 0, 9), millis(0));
    first.adopt_slots(held_by(&former, 1, 2), millis(0));
    second.adopt_slots(held_by(&former, 1, 2), millis(0));
    assert!(!first.holds_slot(&org("a")), "the copy is not trusted");
    assert!(second.holds_slot(&org("a")), "a confirmed slot is kept");
    let all = usize::from(SlotIndex::COUNT);
    assert_eq!(planned(&mut first, &[]), Some(Vec::new()));
    assert_eq!(planned(&mut second, &[]), Some(vec![last.clone(); all]));

    let restored = held_by(&last, 1, 3);
    for table in [&mut first, &mut second] {
        table.adopt_slots(restored.clone(), millis(0));
        table.settle_era(1, millis(0));
    }
    assert!(!first.holds_slot(&org("a")));
    assert!(second.holds_slot(&org("a")));
}

/// Guards against a slot that an instance claims because the copy lists it as free or as that of an
/// ended process, while its holder of the lost history still spends.
#[test]
fn slot_is_claimed_only_in_settled_era() {
    let (fresh, ended) = (InstanceId::new("fresh", 1), InstanceId::new("ended", 1));
    let domain = DomainName::from("d0");
    let listed = [
        record("fresh", &domain, InstanceState::Live, 9_000),
        record("ended", &domain, InstanceState::Gone, 9_000),
    ];
    let mut free = snapshot(2, &[]);
    free.revision.era = 1;
    for slots in [free, held_by(&ended, 1, 2)] {
        let mut table = table(&fresh);
        table.adopt_slots(slots, millis(0));
        assert_eq!(planned(&mut table, &listed), None);
        table.settle_era(1, millis(0));
        let all = usize::from(SlotIndex::COUNT);
        assert_eq!(planned(&mut table, &listed), Some(vec![fresh.clone(); all]));
    }
}

/// Guards against an instance that was cut off until the era was settled, and that spends from slots
/// which another one has claimed since.
#[test]
fn slot_of_earlier_era_lapses_in_settled_era() {
    let (cut_off, successor) = (InstanceId::new("a", 1), InstanceId::new("b", 1));
    let mut table = table(&cut_off);
    table.adopt_slots(held_by(&cut_off, 0, 9), millis(0));
    table.settle_era(1, millis(0));
    table.adopt_slots(held_by(&successor, 1, 5), millis(0));
    assert!(!table.holds_slot(&org("a")));
}
