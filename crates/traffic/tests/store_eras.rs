//! A store that comes back from an older copy: it assigns revisions again, so a view that compares
//! revisions alone takes the new state for an old one, and later changes reach it late or never.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{at, listing, rev, server};
use hawthornquay_decisions::{BackendName, DomainName, InstanceId, RegionName};
use hawthornquay_traffic::{
    BackendEntry, InstanceList, ListedInstance, OperatorView, ServerListing, ServerTable,
    StoreRevision,
};

/// Time after which nothing that the store has lost may stay in use.
const GRACE_END_MS: u64 = 2_500;

/// Returns a revision of the store after it has come back from a copy.
const fn restored(revision: u64) -> StoreRevision {
    StoreRevision::new(1, revision)
}

fn restored_listing(revision: u64, servers: &[BackendEntry]) -> ServerListing {
    ServerListing {
        revision: restored(revision),
        servers: servers.to_vec(),
    }
}

fn instance(name: &str, number: u8) -> ListedInstance {
    let address = |port| SocketAddr::from(([10, 0, 0, number], port));
    ListedInstance {
        id: InstanceId::new(name, 1),
        region: RegionName::new("a"),
        domain: DomainName::new("a-a"),
        peer_address: address(1),
        caller_address: address(2),
        link_mbps: 0,
    }
}

fn names(list: &InstanceList) -> Vec<&str> {
    list.all().iter().map(|one| one.id.name.as_str()).collect()
}

/// Guards against an evacuation that is not applied because its revision is lower than the last one
/// before the store came back.
#[test]
fn set_evacuated_accepts_lower_revision_of_later_era() {
    let mut view = OperatorView::default();
    assert!(!view.set_evacuated(at(0), rev(100), &[]));
    assert!(view.set_evacuated(at(1_000), restored(60), &["a-a".into()]));
    assert_eq!(view.evacuated(), ["a-a".into()]);
    // A late answer of the former history.
    assert!(!view.set_evacuated(at(1_100), rev(101), &[]));
    assert_eq!(view.revision(), restored(60));
}

/// Guards against requests to an evacuated failure domain between the return of the store, whose
/// copy lacks the evacuation, and its being written again; and against one that never ends.
#[test]
fn evacuation_lost_by_store_stays_in_effect_for_grace_period() {
    let mut view = OperatorView::default();
    view.set_evacuated(at(0), rev(100), &["a-a".into(), "b-a".into()]);
    assert!(!view.set_evacuated(at(1_000), restored(60), &[]));
    assert_eq!(view.evacuated().len(), 2);
    assert!(view.stored_evacuations().is_empty());
    // The first is written again and then ends, the second is not.
    assert!(!view.set_evacuated(at(1_500), restored(62), &["a-a".into()]));
    assert!(view.set_evacuated(at(2_000), restored(63), &[]));
    assert_eq!(view.evacuated(), ["b-a".into()]);
    assert!(!view.end_grace(at(2_000)));
    assert!(view.end_grace(at(1_000 + GRACE_END_MS)));
    assert!(view.evacuated().is_empty());
}

/// Guards against an age that is not reset by the new history, so that every instance reads the
/// store, or is reset by the former one.
#[test]
fn confirm_of_later_era_resets_age() {
    let mut view = OperatorView::default();
    view.set_evacuated(at(0), rev(100), &[]);
    view.confirm(rev(100), at(0));
    view.set_evacuated(at(1_000), restored(60), &[]);
    view.confirm(restored(60), at(1_000));
    view.confirm(rev(100), at(5_000));
    assert_eq!(view.age(at(6_000)), Some(Duration::from_secs(5)));
}

/// Guards against a leaving server that gets requests because the list with its state has a lower
/// revision than the list before the store came back.
#[test]
fn apply_listing_accepts_lower_revision_of_later_era() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    let leaving = BackendEntry {
        leaving: true,
        ..server("s1", "home-a")
    };
    let after = restored_listing(60, &[leaving, entries[1].clone()]);
    table.apply_listing(at(1_000), at(1_000), &after);
    assert!(!table.is_active(&BackendName::new("s1")));
    table.apply_listing(at(1_100), at(1_100), &listing(101, &entries[1..]));
    assert_eq!(table.revision(), restored(60));
}

/// Guards against sound servers that get no requests because the copy lacks them until they
/// register again.
#[test]
fn server_lost_by_store_stays_in_use_for_grace_period() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    // The store was away for less time than counts as an outage.
    table.apply_listing(at(700), at(700), &restored_listing(60, &entries[..1]));
    assert_eq!(table.len(), 2);
    let end = at(700 + GRACE_END_MS);
    table.apply_listing(end, end, &restored_listing(61, &entries[..1]));
    assert_eq!(table.len(), 1);
}

/// Guards against changes between instances that continue a list of the former history: the sender
/// may never have seen the receiver's list.
#[test]
fn changes_since_former_era_are_not_known() {
    let (mut sender, mut receiver) = (ServerTable::default(), ServerTable::default());
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    sender.apply_listing(at(0), at(0), &listing(90, &entries));
    // Only the receiver has read the list without the second server.
    receiver.apply_listing(at(0), at(0), &listing(100, &entries[..1]));
    sender.apply_listing(at(0), at(0), &restored_listing(60, &entries));
    assert!(sender.changes_since(at(0), receiver.revision()).is_none());
    assert!(
        sender.changed_revision() > receiver.revision(),
        "the list must not count as unchanged"
    );
    receiver.apply_listing(at(0), at(0), &sender.listing(at(0)));
    sender.apply_listing(at(9_000), at(9_000), &restored_listing(70, &entries[1..]));
    let changes = sender
        .changes_since(at(9_000), receiver.revision())
        .unwrap();
    assert_eq!(changes.removed, ["s1".into()]);
}

/// Guards against instances that leave the directory, and against each instance taking itself for
/// the only one, because the copy lacks their registrations.
#[test]
fn instance_lost_by_store_stays_listed_for_grace_period() {
    let mut list = InstanceList::default();
    let all = ["a1", "a2", "a3"].map(|name| instance(name, 1));
    list.apply_listing(at(0), rev(100), all.to_vec());
    assert!(!list.apply_listing(at(1_000), restored(60), Vec::new()));
    assert_eq!(names(&list), ["a1", "a2", "a3"]);
    assert_eq!(list.stored().count(), 0);
    assert!(list.changes_since(rev(100)).is_none());
    // The first registers again.
    list.apply_listing(at(1_500), restored(61), all[..1].to_vec());
    assert_eq!(names(&list), ["a1", "a2", "a3"]);
    let changes = list.changes_since(restored(60)).unwrap();
    assert_eq!(changes.changed, all[..1]);
    assert!(!list.end_grace(at(1_500)));
    assert!(list.end_grace(at(1_000 + GRACE_END_MS)));
    assert_eq!(names(&list), ["a1"]);
}

/// Guards against an instance that has announced its stop and is named again for the grace period.
#[test]
fn leaving_instance_lost_by_store_is_removed() {
    let mut list = InstanceList::default();
    list.apply_listing(at(0), rev(100), vec![instance("a1", 1), instance("a2", 2)]);
    list.record_message(at(500), &"a2".into(), 1, true);
    list.apply_listing(at(1_000), restored(60), vec![instance("a1", 1)]);
    assert_eq!(names(&list), ["a1"]);
}

/// Returns the number of servers that get requests.
fn usable(table: &ServerTable, ms: u64) -> u32 {
    let reports = table.service_reports(at(ms), |_| true);
    reports.values().map(|report| report.servers).sum()
}

/// Guards against requests to a server that has left: the copy lists it until its entry is removed
/// again. One that is still listed after that is in use.
#[test]
fn server_gone_since_copy_is_used_after_grace_period_only() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    table.apply_listing(at(700), at(700), &listing(101, &entries[..1]));
    assert_eq!(table.len(), 1);
    table.apply_listing(at(1_400), at(1_400), &restored_listing(60, &entries));
    assert_eq!(usable(&table, 1_400), 1);
    table.apply_listing(at(2_100), at(2_100), &restored_listing(61, &entries));
    assert_eq!(usable(&table, 2_100), 1);
    assert_eq!(usable(&table, 1_400 + GRACE_END_MS), 2);
}

/// Guards against requests to a server that has announced its stop and whose entry is listed as
/// ready again after its removal.
#[test]
fn leaving_server_gone_since_copy_stays_leaving() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    let leaving = BackendEntry {
        leaving: true,
        ..server("s2", "home-a")
    };
    let announced = listing(101, &[entries[0].clone(), leaving]);
    table.apply_listing(at(700), at(700), &announced);
    table.apply_listing(at(1_400), at(1_400), &listing(102, &entries[..1]));
    table.apply_listing(at(2_100), at(2_100), &restored_listing(60, &entries));
    assert_eq!(usable(&table, 9_000), 1);
    let restarted = BackendEntry {
        started_ms: entries[1].started_ms + 5_000,
        ..entries[1].clone()
    };
    let again = restored_listing(70, &[entries[0].clone(), restarted]);
    table.apply_listing(at(9_000), at(9_000), &again);
    assert_eq!(usable(&table, 9_000), 2);
}

/// Guards against a cold server that gets the load of a warm one: the copy lists its former process,
/// which was warm, at the same name.
#[test]
fn former_process_in_copy_does_not_replace_present_one() {
    let mut table = ServerTable::default();
    let former = server("s1", "home-a");
    table.apply_listing(at(0), at(0), &listing(100, std::slice::from_ref(&former)));
    let present = BackendEntry {
        started_ms: former.started_ms + 5_000,
        cold_remaining: Duration::from_secs(10),
        ..former.clone()
    };
    table.apply_listing(
        at(700),
        at(700),
        &listing(101, std::slice::from_ref(&present)),
    );
    table.apply_listing(at(1_400), at(1_400), &restored_listing(60, &[former]));
    assert_eq!(usable(&table, 1_400), 0, "the cold server counts as warm");
    assert!(!table.is_empty());
    let after = BackendEntry {
        cold_remaining: Duration::from_secs(9),
        ..present
    };
    table.apply_listing(at(2_100), at(2_100), &restored_listing(61, &[after]));
    table.apply_listing(at(4_500), at(4_500), &restored_listing(62, &[]));
    assert!(table.is_empty(), "it was listed again and is gone now");
}

/// Guards against sound servers that are dropped for a moment: they register again shortly before the
/// grace period ends, and the list would be read shortly after.
#[test]
fn list_is_read_once_more_before_grace_period_ends() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    table.apply_listing(at(700), at(700), &restored_listing(60, &entries[..1]));
    table.apply_listing(at(2_600), at(2_600), &restored_listing(61, &entries[..1]));
    // Servers are back 2 s after the return of the store.
    assert!(!table.is_last_read_due(at(2_700)));
    assert!(table.is_last_read_due(at(2_800)));
    table.apply_listing(at(2_800), at(2_800), &restored_listing(62, &entries));
    assert!(!table.is_last_read_due(at(2_900)));
    assert_eq!(usable(&table, 700 + GRACE_END_MS), 2);
}

/// Guards against sound servers that are dropped though they register again in time: the store comes
/// back a second time, and loses that they had.
#[test]
fn server_lost_twice_stays_in_use_for_second_grace_period() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(100, &entries));
    table.apply_listing(at(700), at(700), &restored_listing(60, &entries[..1]));
    let second = |revision, servers: &[BackendEntry]| ServerListing {
        revision: StoreRevision::new(2, revision),
        servers: servers.to_vec(),
    };
    table.apply_listing(at(2_700), at(2_700), &second(50, &entries[..1]));
    table.apply_listing(at(3_400), at(3_400), &second(51, &entries[..1]));
    assert_eq!(usable(&table, 4_500), 2);
    table.apply_listing(at(4_700), at(4_700), &second(52, &entries));
    assert_eq!(usable(&table, 2_700 + GRACE_END_MS), 2);
}
