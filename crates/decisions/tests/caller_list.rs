//! Order and content of the list for callers.

mod member_support;

use hawthornquay_decisions::{InstanceState, MemberTable, Residency, Set, caller_list};
use member_support::{record, seconds, table};

/// Table of instance 0 in `domain-0`; odd members are in `domain-1` of the same region, and
/// members 6 and 7 are in another region.
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
    holders: &[usize],
    spread: u64,
) -> Vec<String> {
    let holders: Set<_> = holders.iter().map(|&n| record(n, 2, 1).name).collect();
    caller_list(table, seconds(1), residency, &holders, spread)
        .iter()
        .map(|entry| entry.name.to_string())
        .collect()
}

/// Guards against callers sent to far or leaving instances first, or past the slot holder.
#[test]
fn list_near_first_and_holders_first() {
    let names = names(&fleet(), &Residency::Any, &[2, 5, 7], 3);
    assert_eq!(names[..2], ["entry-002", "entry-000"]);
    assert_eq!(names[2], "entry-005");
    assert_eq!(names[5], "entry-007");
    assert_eq!(names.len(), 7);
    assert!(!names.contains(&"entry-004".to_owned()));
}

/// Guards against an address in a region that the residency forbids.
#[test]
fn list_keeps_to_the_residency() {
    let regions = Residency::Regions([record(0, 2, 1).region].into_iter().collect());
    let names = names(&fleet(), &regions, &[7], 3);
    assert_eq!(names.len(), 5);
    assert!(!names.contains(&"entry-007".to_owned()));
}

/// Guards against a suspect instance offered before one that is known to run.
#[test]
fn list_suspect_members_come_last() {
    let mut table = fleet();
    table.mark_unreachable(&record(2, 2, 1).name);
    let names = names(&table, &Residency::Any, &[2], 3);
    assert_eq!(names.last().unwrap(), "entry-002");
}

/// Guards against all callers of a domain being sent to one instance.
#[test]
fn list_spread_changes_the_first_instance() {
    let table = fleet();
    let firsts: Set<_> = (0..32)
        .map(|spread| names(&table, &Residency::Any, &[], spread)[0].clone())
        .collect();
    assert_eq!(firsts.len(), 2);
}
