//! Changes of lists between instances: a receiver that applies them must have the sender's list.
//!
//! A leader of a hundred instances sends each change of a list a hundred times. With complete lists
//! of 170 servers and 295 instances, that is 4 MB, almost two seconds of a 20 Mbit/s link.

mod common;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use common::{at, listing, rev, server};
use hawthornquay_decisions::{DomainName, InstanceId, RegionName};
use hawthornquay_traffic::{BackendEntry, InstanceList, ListedInstance, ServerTable};
use proptest::prelude::*;

fn instance(number: u8, link_mbps: u32) -> ListedInstance {
    let address = |port| SocketAddr::from(([10, 0, 0, number], port));
    ListedInstance {
        id: InstanceId::new(&format!("a{number}"), 1),
        region: RegionName::new("a"),
        domain: DomainName::new("a-a"),
        peer_address: address(1),
        caller_address: address(2),
        link_mbps,
    }
}

fn entry(number: u8, slots: u32) -> BackendEntry {
    BackendEntry {
        slots,
        ..server(&format!("s{number}"), "home-a")
    }
}

fn entries(table: &ServerTable) -> BTreeSet<(String, u32, bool)> {
    let servers = table.listing(at(0)).servers;
    let rows = servers
        .into_iter()
        .map(|one| (one.id.to_string(), one.slots, one.leaving));
    rows.collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a receiver that lacks a change, or keeps a removed server, after it has
    /// missed some of the messages.
    #[test]
    fn server_changes_lead_to_senders_list(
        lists in prop::collection::vec(prop::collection::btree_map(0_u8..12, 1_u32..3, 0..10), 1..20),
        received in prop::collection::vec(any::<bool>(), 20),
    ) {
        let (mut sender, mut receiver) = (ServerTable::default(), ServerTable::default());
        for (index, servers) in lists.iter().enumerate() {
            let revision = 10 + 3 * index as u64;
            let servers: Vec<_> = servers.iter().map(|(id, slots)| entry(*id, *slots)).collect();
            sender.apply_listing(at(0), at(0), &listing(revision, &servers));
            if index == 0 {
                receiver.apply_listing(at(0), at(0), &sender.listing(at(0)));
            } else if received[index] {
                let changes = sender.changes_since(at(0), receiver.revision()).unwrap();
                receiver.apply_changes(at(0), at(0), &changes);
                prop_assert_eq!(receiver.revision(), rev(revision));
                prop_assert_eq!(entries(&receiver), entries(&sender));
            }
            // What the status says of the last change must never hide one from the receiver.
            if receiver.revision() >= sender.changed_revision() {
                prop_assert_eq!(entries(&receiver), entries(&sender));
            }
        }
    }

    /// The same for the list of instances.
    #[test]
    fn instance_changes_lead_to_senders_list(
        lists in prop::collection::vec(prop::collection::btree_map(0_u8..12, 1_u32..3, 0..10), 1..20),
        received in prop::collection::vec(any::<bool>(), 20),
    ) {
        let (mut sender, mut receiver) = (InstanceList::default(), InstanceList::default());
        for (index, listed) in lists.iter().enumerate() {
            let revision = 10 + 3 * index as u64;
            let listed: Vec<_> = listed.iter().map(|(id, link)| instance(*id, *link)).collect();
            sender.apply_listing(at(0), rev(revision), listed.clone());
            if index == 0 {
                receiver.apply_listing(at(0), rev(revision), listed);
            } else if received[index] {
                let changes = sender.changes_since(receiver.revision()).unwrap();
                receiver.apply_changes(at(0), &changes);
                prop_assert_eq!(receiver.revision(), rev(revision));
                prop_assert_eq!(receiver.all(), sender.all());
            }
            if receiver.revision() >= sender.changed_revision() {
                prop_assert_eq!(receiver.all(), sender.all());
            }
        }
    }
}

/// Guards against a view that goes back, or is filled from changes of another one.
#[test]
fn apply_changes_out_of_order_is_ignored() {
    let mut sender = ServerTable::default();
    sender.apply_listing(at(0), at(0), &listing(5, &[entry(1, 1)]));
    sender.apply_listing(at(0), at(0), &listing(6, &[entry(1, 1), entry(2, 1)]));
    sender.apply_listing(at(0), at(0), &listing(7, &[entry(2, 1)]));
    let mut empty = ServerTable::default();
    let changes = sender.changes_since(at(0), rev(5)).unwrap();
    empty.apply_changes(at(0), at(0), &changes);
    assert_eq!(
        empty.revision(),
        rev(0),
        "no list that the changes continue"
    );
    let mut older = ServerTable::default();
    older.apply_listing(at(0), at(0), &listing(4, &[entry(3, 1)]));
    older.apply_changes(at(0), at(0), &changes);
    assert_eq!(
        older.revision(),
        rev(4),
        "changes before the fifth are unknown"
    );
    assert!(sender.changes_since(at(0), rev(4)).is_none());
    let mut newer = ServerTable::default();
    newer.apply_listing(at(0), at(0), &listing(9, &[entry(4, 1)]));
    newer.apply_changes(at(0), at(0), &changes);
    assert_eq!(entries(&newer).len(), 1);
    assert_eq!(newer.revision(), rev(9));
}

/// Guards against changes that are sent again and again though nothing has changed, and against a
/// cold server that others take for a warm one.
#[test]
fn changes_since_unchanged_list_are_empty() {
    let cold = BackendEntry {
        cold_remaining: Duration::from_secs(3),
        ..entry(1, 1)
    };
    let mut sender = ServerTable::default();
    sender.apply_listing(at(0), at(0), &listing(5, &[entry(1, 1)]));
    sender.apply_listing(at(700), at(700), &listing(8, &[entry(1, 1)]));
    assert_eq!(sender.changed_revision(), rev(5));
    let changes = sender.changes_since(at(700), rev(5)).unwrap();
    assert!(changes.changed.is_empty() && changes.removed.is_empty());
    sender.apply_listing(at(1_400), at(1_400), &listing(9, &[cold]));
    let changes = sender.changes_since(at(1_400), rev(8)).unwrap();
    assert_eq!(changes.changed[0].cold_remaining, Duration::from_secs(3));
}

/// Guards against a server that is missing after an outage of the store and stays at a receiver of
/// changes for ever, or is dropped there at once.
#[test]
fn changes_after_store_outage_keep_missing_server_for_grace_period() {
    let (mut sender, mut receiver) = (ServerTable::default(), ServerTable::default());
    let both = listing(5, &[entry(1, 1), entry(2, 1)]);
    sender.apply_listing(at(0), at(0), &both);
    receiver.apply_listing(at(0), at(0), &both);
    for (ms, revision, kept) in [(8_000, 6, 2), (9_000, 7, 2), (10_600, 8, 1)] {
        sender.apply_listing(at(ms), at(ms), &listing(revision, &[entry(1, 1)]));
        let changes = sender.changes_since(at(ms), receiver.revision()).unwrap();
        receiver.apply_changes(at(ms), at(ms), &changes);
        assert_eq!((sender.len(), receiver.len()), (kept, kept), "{ms} ms");
    }
}

/// Guards against a region led over one of its slowest links.
#[test]
fn leader_of_region_has_fastest_link() {
    let region = RegionName::new("a");
    let mut list = InstanceList::default();
    let listed = vec![
        instance(1, 20),
        instance(2, 20),
        instance(7, 200),
        instance(8, 200),
    ];
    list.apply_listing(at(0), rev(1), listed);
    let leader = |list: &InstanceList, ms| {
        let leader = list.leader_of(at(ms), &region, &"a1".into());
        leader.unwrap().id.name.to_string()
    };
    assert_eq!(leader(&list, 0), "a7");
    assert_eq!(list.leadership_rank(&region, &"a1".into()), 2);
    assert_eq!(list.leadership_rank(&region, &"a7".into()), 0);
    list.record_message(at(0), &"a7".into(), 1, false);
    list.record_message(at(4_000), &"a8".into(), 1, false);
    assert_eq!(leader(&list, 4_000), "a8", "the first is silent");
    list.record_message(at(4_000), &"a8".into(), 1, true);
    assert_eq!(leader(&list, 4_000), "a1", "the second is leaving");
    assert_eq!(
        list.leader_candidates_in(at(9_000), &region, 0)[0].id.name,
        "a7".into()
    );
}
