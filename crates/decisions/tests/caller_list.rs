//! Order and content of the caller list.

mod member_support;

use hawthornquay_decisions::{InstanceState, MemberTable, Residency, Set, caller_list};
use member_support::{record, seconds, table};

/// Returns the table of instance 0, which is in `domain-0` with the other even members.
///
/// Odd members are in `domain-1` of the same region, members 6 and 7 are in another region, and
/// member 4 is leaving.
fn fleet() -> MemberTable {
    let mut table = table(0);
    let mut records: Vec<_> = (0..8).map(|index| record(index, 2, 1)).collect();
    for record in &mut records[6..] {
        record.region = "region-9".into();
        record.domain = "domain-9".into();
    }
    records[4].state = InstanceState::Leaving;
    table.apply_instance_list(seconds(1), &records);
    table
}

fn names(
    table: &MemberTable,
    residency: &Residency,
    slot_holders: &[usize],
    shuffle_seed: u64,
) -> Vec<String> {
    let slot_holders: Set<_> = slot_holders
        .iter()
        .map(|&index| record(index, 2, 1).name)
        .collect();
    caller_list(table, seconds(1), residency, &slot_holders, shuffle_seed)
        .iter()
        .map(|entry| entry.name.to_string())
        .collect()
}

/// Guards against a list that sends callers to distant or leaving instances first, or to others
/// before the slot holders of the same domain.
#[test]
fn caller_list_orders_by_distance_then_slot_holders() {
    let names = names(&fleet(), &Residency::Any, &[2, 5, 7], 3);
    assert_eq!(names[..2], ["entry-002", "entry-000"]);
    assert_eq!(names[2], "entry-005");
    assert_eq!(names[5], "entry-007");
    assert_eq!(names.len(), 7);
    assert!(!names.contains(&"entry-004".to_owned()));
}

/// Guards against a list with an instance in a region that the residency forbids.
#[test]
fn caller_list_omits_forbidden_regions() {
    let regions = Residency::Regions([record(0, 2, 1).region].into_iter().collect());
    let names = names(&fleet(), &regions, &[7], 3);
    assert_eq!(names.len(), 5);
    assert!(!names.contains(&"entry-007".to_owned()));
}

/// Guards against a list with a suspect instance before a live one.
#[test]
fn caller_list_puts_suspect_members_last() {
    let mut table = fleet();
    table.mark_unreachable(&record(2, 2, 1).name);
    let names = names(&table, &Residency::Any, &[2], 3);
    assert_eq!(names.last().unwrap(), "entry-002");
}

/// Guards against a list that sends all callers of a domain to the same instance.
#[test]
fn caller_list_seed_changes_the_first_instance() {
    let table = fleet();
    let firsts: Set<_> = (0..32)
        .map(|shuffle_seed| names(&table, &Residency::Any, &[], shuffle_seed)[0].clone())
        .collect();
    assert_eq!(firsts.len(), 2);
}
