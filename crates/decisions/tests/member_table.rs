//! Member states derived from the instance list and from digests.

mod member_support;

use std::time::Duration;

use hawthornquay_decisions::{
    GossipEntry, InstanceId, InstanceRecord, InstanceState, MemberState, MemberTable,
};
use member_support::{approximate_encoded_len, entry, record, seconds, table};

/// Returns the table of instance 0, with members 1 to 3 listed at second 1, and the list.
fn listed_table() -> (MemberTable, Vec<InstanceRecord>) {
    let mut table = table(0);
    let records: Vec<_> = (0..4).map(|index| record(index, 2, 1)).collect();
    table.apply_instance_list(seconds(1), &records);
    (table, records)
}

/// Applies a digest that the member of `entry` sent itself.
fn apply_direct(table: &mut MemberTable, s: u64, entry: GossipEntry) {
    table.apply_digest(seconds(s), &entry.id.clone(), &[entry]);
}

/// Applies a digest of member `sender` that relays an entry about another member.
fn apply_relayed(table: &mut MemberTable, s: u64, sender: usize, about: GossipEntry) {
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

/// Guards against a second leader of a domain: an instance that has not read a current instance
/// list has no other members in its table.
#[test]
fn domain_leader_waits_for_the_instance_list() {
    let records = [record(0, 2, 1), record(2, 2, 1)];
    let mut instance_2 = table(2);
    assert!(!instance_2.is_domain_leader(seconds(1)), "no list was read");
    instance_2.apply_instance_list(seconds(1), &[]);
    assert!(
        !instance_2.is_domain_leader(seconds(1)),
        "the list is from before the start"
    );
    instance_2.apply_instance_list(seconds(1), &records);
    assert!(
        !instance_2.is_domain_leader(seconds(1)),
        "a live member precedes it by name"
    );
    instance_2.mark_unreachable(&records[0].name);
    assert!(
        instance_2.is_domain_leader(seconds(1)),
        "only a suspect member precedes it"
    );
    let mut instance_0 = table(0);
    instance_0.apply_instance_list(seconds(1), &records);
    assert!(
        instance_0.is_domain_leader(seconds(1)),
        "it is first by name"
    );
}

/// Guards against a relayed entry that restores a former incarnation, and against a new incarnation
/// that is never accepted.
#[test]
fn incarnation_new_replaces_old() {
    let (mut table, _) = listed_table();
    apply_direct(&mut table, 2, entry(1, 5, 10));
    apply_relayed(&mut table, 3, 2, entry(1, 6, 99));
    assert_eq!(
        incarnation(&table, 1),
        Some(5),
        "relayed while the known incarnation sends heartbeats"
    );
    apply_direct(&mut table, 4, entry(1, 6, 1));
    assert_eq!(
        incarnation(&table, 1),
        Some(6),
        "sent by the new process itself"
    );
    apply_relayed(&mut table, 5, 2, entry(1, 5, 11));
    assert_eq!(
        incarnation(&table, 1),
        Some(6),
        "relayed entry about the former incarnation"
    );
    apply_relayed(&mut table, 60, 2, entry(1, 7, 1));
    assert_eq!(
        incarnation(&table, 1),
        Some(7),
        "relayed after the known incarnation timed out"
    );
}

/// Guards against a member that stays live although the list gives its address to another instance.
#[test]
fn member_is_suspect_when_its_address_is_reused() {
    let (mut table, mut records) = listed_table();
    apply_direct(&mut table, 2, entry(1, 5, 1));
    records[1].name = "entry-new".into();
    table.apply_instance_list(seconds(3), &records);
    assert_eq!(state(&table, 1, 3), Some(MemberState::Suspect));
    let new = table.state(&"entry-new".into(), seconds(3));
    assert_eq!(new, Some(MemberState::Live));
}

/// Guards against a member that counts as gone because it sent no heartbeat or the list omits it,
/// and against a gone report in the list that is ignored.
#[test]
fn member_is_gone_only_by_the_instance_list() {
    let (mut table, mut records) = listed_table();
    apply_direct(&mut table, 2, entry(1, 5, 1));
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

/// Guards against a lagging list that hides a restarted process, or whose gone report of the former
/// process is applied to the restarted one.
#[test]
fn gone_report_does_not_apply_to_a_newer_incarnation() {
    let (mut table, mut records) = listed_table();
    apply_direct(&mut table, 2, entry(1, 5, 1));
    records[1].state = InstanceState::Gone;
    records[1].state_age_ms = 1_000;
    apply_direct(&mut table, 6, entry(1, 6, 1));
    table.apply_instance_list(seconds(6), &records);
    assert_eq!(state(&table, 1, 6), Some(MemberState::Live));
    let new = InstanceId::new(records[1].name.as_str(), 6);
    assert_eq!(table.gone_duration(&new, seconds(6)), None);
    let former = InstanceId::new(records[1].name.as_str(), 5);
    assert!(table.gone_duration(&former, seconds(6)).is_some());
}

/// Guards against a sender that sends the entry of another process as its own.
#[test]
fn digest_with_forged_sender_is_ignored() {
    let (mut table, _) = listed_table();
    let forged = entry(1, 5, 1);
    table.apply_digest(seconds(2), &entry(2, 9, 1).id, &[forged]);
    assert_eq!(incarnation(&table, 1), None);
}

/// Guards against watchers that are leaving, suspect or in another region, and against an order
/// that differs between instances.
#[test]
fn watchers_are_the_first_two_live_members_by_name() {
    let (mut table, mut records) = listed_table();
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
    apply_direct(&mut table, 4, entry(1, 5, 1));
    assert_eq!(names(&table, 4), ["entry-000", "entry-001"]);
}

/// Guards against a leaving member that becomes live again because of an old entry or an entry
/// without the leaving flag.
#[test]
fn leaving_lasts_for_the_incarnation() {
    let (mut table, _) = listed_table();
    let mut leaving = entry(1, 5, 10);
    leaving.leaving = true;
    apply_direct(&mut table, 2, leaving);
    apply_relayed(&mut table, 3, 2, entry(1, 5, 9));
    apply_relayed(&mut table, 3, 2, entry(1, 5, 11));
    assert_eq!(state(&table, 1, 3), Some(MemberState::Leaving));
    apply_direct(&mut table, 4, entry(1, 6, 1));
    assert_eq!(state(&table, 1, 4), Some(MemberState::Live));
}

/// Guards against a digest above the byte limit when the own load reports alone exceed it, and
/// against a report that is never sent.
#[test]
fn digest_rotates_own_load_reports_within_the_byte_limit() {
    let mut fleet = member_support::Fleet::new(2, 1, 1, 1);
    fleet.set_loads(0, 20);
    let now = fleet.now();
    let to = fleet.records[1].name.clone();
    let mut seen = hawthornquay_decisions::Set::default();
    for _ in 0..20 {
        let entries = fleet.nodes[0]
            .table
            .digest(now, &to, approximate_encoded_len);
        assert!(entries.iter().map(approximate_encoded_len).sum::<usize>() <= 380);
        seen.extend(entries[0].loads.iter().map(|load| load.backend.clone()));
    }
    assert_eq!(seen.len(), 20);
}
