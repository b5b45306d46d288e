//! Member states from the list and from digests.

mod member_support;

use std::time::Duration;

use hawthornquay_decisions::{
    GossipEntry, InstanceId, InstanceRecord, InstanceState, MemberState, MemberTable,
};
use member_support::{entry, record, rough_len, seconds, table};

/// Table of instance 0 with members 1 to 3 listed at second 1.
fn listed() -> (MemberTable, Vec<InstanceRecord>) {
    let mut table = table(0);
    let records: Vec<_> = (0..4).map(|index| record(index, 2, 1)).collect();
    table.apply_instance_list(seconds(1), &records);
    (table, records)
}

fn direct(table: &mut MemberTable, s: u64, entry: GossipEntry) {
    table.apply_digest(seconds(s), &entry.id.clone(), &[entry]);
}

fn relayed(table: &mut MemberTable, s: u64, sender: usize, about: GossipEntry) {
    let sender = entry(sender, 9, s);
    table.apply_digest(seconds(s), &sender.id.clone(), &[sender, about]);
}

fn incarnation(table: &MemberTable, index: usize) -> Option<u64> {
    let member = table.get(&record(index, 2, 1).name)?;
    member.incarnation.map(|incarnation| incarnation.0)
}

fn state(table: &MemberTable, index: usize, s: u64) -> Option<MemberState> {
    table.state(&record(index, 2, 1).name, seconds(s))
}

/// Guards against an instance that leads its domain because it has not read of the others yet.
#[test]
fn domain_lead_waits_for_the_list() {
    let records = [record(0, 2, 1), record(2, 2, 1)];
    let mut second = table(2);
    assert!(!second.is_domain_leader(seconds(1)), "before the list");
    second.apply_instance_list(seconds(1), &[]);
    assert!(
        !second.is_domain_leader(seconds(1)),
        "list from before the start"
    );
    second.apply_instance_list(seconds(1), &records);
    assert!(!second.is_domain_leader(seconds(1)), "behind a live one");
    second.mark_unreachable(&records[0].name);
    assert!(second.is_domain_leader(seconds(1)), "behind a suspect one");
    let mut alone = table(0);
    alone.apply_instance_list(seconds(1), &records);
    assert!(alone.is_domain_leader(seconds(1)), "first by name");
}

/// Guards against a relayed entry that brings a former incarnation back, and against a new one that is
/// never accepted.
#[test]
fn incarnation_new_replaces_old() {
    let (mut table, _) = listed();
    direct(&mut table, 2, entry(1, 5, 10));
    relayed(&mut table, 3, 2, entry(1, 6, 99));
    assert_eq!(
        incarnation(&table, 1),
        Some(5),
        "relayed while the known one progresses"
    );
    direct(&mut table, 4, entry(1, 6, 1));
    assert_eq!(incarnation(&table, 1), Some(6), "from the process itself");
    relayed(&mut table, 5, 2, entry(1, 5, 11));
    assert_eq!(
        incarnation(&table, 1),
        Some(6),
        "relayed about the former one"
    );
    relayed(&mut table, 60, 2, entry(1, 7, 1));
    assert_eq!(
        incarnation(&table, 1),
        Some(7),
        "relayed after the known one stopped"
    );
}

/// Guards against another instance that takes over an address without its predecessor becoming
/// suspect.
#[test]
fn address_taken_over_makes_the_former_member_suspect() {
    let (mut table, mut records) = listed();
    direct(&mut table, 2, entry(1, 5, 1));
    records[1].name = "entry-new".into();
    table.apply_instance_list(seconds(3), &records);
    assert_eq!(state(&table, 1, 3), Some(MemberState::Suspect));
    let new = table.state(&"entry-new".into(), seconds(3));
    assert_eq!(new, Some(MemberState::Live));
}

/// Guards against a member declared gone by silence or omission, and against a list that does not
/// count.
#[test]
fn gone_only_by_the_list() {
    let (mut table, mut records) = listed();
    direct(&mut table, 2, entry(1, 5, 1));
    let id = InstanceId::new(records[1].name.as_str(), 5);
    let omitted = [records[0].clone(), records[2].clone()];
    table.apply_instance_list(seconds(1_000), &omitted);
    assert_eq!(state(&table, 1, 1_000), Some(MemberState::Suspect));
    assert_eq!(table.gone_duration(&id, seconds(1_000)), None);
    records[1].state = InstanceState::Gone;
    records[1].state_age_ms = 4_000;
    table.apply_instance_list(seconds(1_001), &records);
    assert_eq!(state(&table, 1, 1_001), Some(MemberState::Gone));
    let gone = table.gone_duration(&id, seconds(1_002));
    assert_eq!(gone, Some(Duration::from_secs(5)));
}

/// Guards against a lagging list that hides a restarted process or reports it as gone.
#[test]
fn gone_report_of_the_former_incarnation_spares_the_new_one() {
    let (mut table, mut records) = listed();
    direct(&mut table, 2, entry(1, 5, 1));
    records[1].state = InstanceState::Gone;
    records[1].state_age_ms = 1_000;
    direct(&mut table, 6, entry(1, 6, 1));
    table.apply_instance_list(seconds(6), &records);
    assert_eq!(state(&table, 1, 6), Some(MemberState::Live));
    let new = InstanceId::new(records[1].name.as_str(), 6);
    assert_eq!(table.gone_duration(&new, seconds(6)), None);
    let former = InstanceId::new(records[1].name.as_str(), 5);
    assert!(table.gone_duration(&former, seconds(6)).is_some());
}

/// Guards against a sender that speaks in another's name.
#[test]
fn digest_of_another_process_is_ignored() {
    let (mut table, _) = listed();
    let forged = entry(1, 5, 1);
    table.apply_digest(seconds(2), &entry(2, 9, 1).id, &[forged]);
    assert_eq!(incarnation(&table, 1), None);
}

/// Guards against watchers that are leaving, suspect, of another region, or chosen in an order
/// that differs between instances.
#[test]
fn watchers_are_the_first_two_live_ones() {
    let (mut table, mut records) = listed();
    let region = records[0].region.clone();
    let names = |table: &MemberTable, s| {
        let watchers = table.watchers(&region, seconds(s));
        watchers.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(names(&table, 2), ["entry-000", "entry-001"]);
    table.mark_unreachable(&records[1].name);
    assert_eq!(names(&table, 2), ["entry-000", "entry-002"]);
    records[2].state = InstanceState::Leaving;
    records[3].region = "elsewhere".into();
    table.apply_instance_list(seconds(3), &records);
    assert_eq!(names(&table, 3), ["entry-000"]);
    direct(&mut table, 4, entry(1, 5, 1));
    assert_eq!(names(&table, 4), ["entry-000", "entry-001"]);
}

/// Guards against a leaving member that counts as live again through an old entry.
#[test]
fn leaving_lasts_for_the_incarnation() {
    let (mut table, _) = listed();
    let mut leaving = entry(1, 5, 10);
    leaving.leaving = true;
    direct(&mut table, 2, leaving);
    relayed(&mut table, 3, 2, entry(1, 5, 9));
    relayed(&mut table, 3, 2, entry(1, 5, 11));
    assert_eq!(state(&table, 1, 3), Some(MemberState::Leaving));
    direct(&mut table, 4, entry(1, 6, 1));
    assert_eq!(state(&table, 1, 4), Some(MemberState::Live));
}

/// Guards against a digest above the budget when the own load reports alone exceed it, and against
/// a report that is never sent.
#[test]
fn digest_own_loads_take_turns_within_the_budget() {
    let mut fleet = member_support::Fleet::new(2, 1, 1, 1);
    fleet.set_loads(0, 20);
    let now = fleet.now();
    let to = fleet.records[1].name.clone();
    let mut seen = hawthornquay_decisions::Set::default();
    for _ in 0..20 {
        let entries = fleet.nodes[0].table.digest(now, &to, rough_len);
        assert!(entries.iter().map(rough_len).sum::<usize>() <= 380);
        seen.extend(entries[0].loads.iter().map(|load| load.backend.clone()));
    }
    assert_eq!(seen.len(), 20);
}
