//! Guards against views of the store that go back, and callers or requests led to wrong instances.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{at, configuration, route};
use hawthornquay_decisions::{
    DomainName, InstanceId, InstanceName, OrganisationId, RegionName, ServiceName,
};
use hawthornquay_traffic::{
    Configuration, InstanceList, ListedInstance, OperatorView, RouteIndex, poll_interval,
    rank_in_region,
};

fn instance(name: &str, region: &str, host: u8) -> ListedInstance {
    let address = |port| SocketAddr::from(([10, 0, 0, host], port));
    ListedInstance {
        id: InstanceId::new(name, 1),
        region: RegionName::new(region),
        domain: DomainName::new(&format!("{region}-a")),
        peer_address: address(1),
        caller_address: address(2),
    }
}

fn list() -> InstanceList {
    let mut list = InstanceList::default();
    let listed = vec![
        instance("a1", "a", 1),
        instance("a2", "a", 2),
        instance("b1", "b", 3),
    ];
    assert!(list.apply_listing(at(0), 5, listed));
    list
}

fn hosts(list: &InstanceList, now_ms: u64, region: &str) -> Vec<String> {
    let domain = DomainName::new(&format!("{region}-a"));
    list.addresses_for(at(now_ms), &"a1".into(), &RegionName::new(region), &domain)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Guards against a configuration that a lagging store or peer brings back.
#[test]
fn install_lower_version_is_refused() {
    let mut view = OperatorView::default();
    let with_version = |version| Configuration {
        version,
        ..configuration(0, 0)
    };
    assert!(view.install(with_version(7)));
    assert!(!view.install(with_version(6)));
    assert!(!view.install(with_version(7)));
    assert!(view.install(with_version(12)));
    assert_eq!(view.version(), 12);
}

/// Guards against an evacuation that an older view ends or begins again.
#[test]
fn set_evacuated_older_revision_is_refused() {
    let mut view = OperatorView::default();
    assert!(view.set_evacuated(10, vec!["a-a".into()]));
    assert!(!view.set_evacuated(9, Vec::new()));
    assert_eq!(view.evacuated().len(), 1);
    assert!(view.set_evacuated(11, Vec::new()));
}

/// Guards against an age that an old confirmation makes younger.
#[test]
fn confirm_older_revision_does_not_refresh_the_view() {
    let mut view = OperatorView::default();
    view.set_evacuated(10, Vec::new());
    view.confirm(10, at(0));
    view.confirm(9, at(5_000));
    assert_eq!(view.age(at(6_000)), Some(Duration::from_secs(6)));
}

/// Guards against callers led out of their region, which some requests may not leave.
#[test]
fn addresses_for_callers_stay_in_their_region() {
    let list = list();
    assert_eq!(hosts(&list, 0, "a"), ["10.0.0.1:2", "10.0.0.2:2"]);
    assert_eq!(hosts(&list, 0, "b"), ["10.0.0.3:2"]);
    assert_eq!(hosts(&list, 0, "c").len(), 3);
}

/// Guards against callers led to an instance that is stopping or silent, and against a new process
/// of the same name being taken for the old one.
#[test]
fn addresses_for_leaving_and_silent_instances_are_left_out() {
    let mut list = list();
    list.record_message(at(0), &"a2".into(), 1, true);
    assert_eq!(hosts(&list, 0, "a"), ["10.0.0.1:2"]);
    list.record_message(at(1), &"a2".into(), 1, false);
    assert_eq!(hosts(&list, 1, "a"), ["10.0.0.1:2"]);
    let mut restarted = instance("a2", "a", 2);
    restarted.id = InstanceId::new("a2", 2);
    list.apply_listing(at(0), 6, vec![instance("a1", "a", 1), restarted]);
    list.record_message(at(2), &"a2".into(), 2, false);
    assert_eq!(hosts(&list, 2, "a").len(), 2);
    assert_eq!(hosts(&list, 5_000, "a"), ["10.0.0.1:2"]);
}

/// Guards against a region taken for unreachable because one of its instances is.
#[test]
fn receiver_in_unreachable_instance_is_replaced_by_its_neighbour() {
    let mut list = list();
    let (region, sender) = (RegionName::new("a"), InstanceName::new("b1"));
    let first = list
        .forward_target_in(at(0), &region, &sender, &[])
        .unwrap()
        .id
        .name
        .clone();
    list.mark_unreachable(at(0), &first);
    let second = list
        .forward_target_in(at(1), &region, &sender, &[])
        .unwrap()
        .id
        .name
        .clone();
    assert_ne!(first, second);
    let again = list
        .forward_target_in(at(3_000), &region, &sender, &[])
        .unwrap();
    assert_eq!(again.id.name, first);
}

/// Guards against two regions that never hear of each other again, because each takes another
/// instance than the real one for the other's leader after a cut.
#[test]
fn contacts_in_unheard_region_are_all_tried_in_turn() {
    let mut list = InstanceList::default();
    let listed = (1..6).map(|n| instance(&format!("a{n}"), "a", n)).collect();
    list.apply_listing(at(0), 5, listed);
    let region = RegionName::new("a");
    let names = |list: &InstanceList, now_ms: u64, turn: usize| -> Vec<String> {
        list.leader_candidates_in(at(now_ms), &region, turn)
            .iter()
            .map(|instance| instance.id.name.to_string())
            .collect()
    };
    list.record_message(at(0), &"a3".into(), 1, false);
    assert_eq!(names(&list, 1_000, 0), ["a3"]);
    list.record_message(at(500), &"a1".into(), 1, false);
    assert_eq!(names(&list, 1_000, 0), ["a1"]);
    let mut tried: Vec<String> = (0..4).flat_map(|turn| names(&list, 9_000, turn)).collect();
    tried.sort();
    tried.dedup();
    assert_eq!(tried, ["a1", "a2", "a3", "a4", "a5"]);
}

/// Guards against an instance that gets no more reports of the regions, and refuses what only they
/// can serve, because it cannot reach the store and its entry has lapsed.
#[test]
fn followers_in_lapsed_instance_stays_while_it_is_heard() {
    let region = RegionName::new("a");
    let mut list = list();
    list.record_message(at(1_000), &"a2".into(), 1, false);
    list.apply_listing(at(2_000), 6, vec![instance("a1", "a", 1)]);
    let names = |list: &InstanceList, ms| -> Vec<String> {
        list.status_receivers_in(at(ms), &region)
            .map(|instance| instance.id.name.to_string())
            .collect()
    };
    assert_eq!(names(&list, 2_000), ["a1", "a2"]);
    assert!(list.get(&"a2".into()).is_some());
    assert_eq!(hosts(&list, 2_000, "a"), ["10.0.0.1:2"], "not for callers");
    list.apply_listing(at(3_000), 7, vec![instance("a1", "a", 1)]);
    assert_eq!(names(&list, 3_000), ["a1", "a2"], "after another list");
    assert_eq!(names(&list, 4_000), ["a1"], "silent");
}

/// Guards against two pools of one organisation in a small region, and against one that is kept by
/// an instance that stops.
#[test]
fn keepers_in_small_region_is_one_that_stays() {
    let (region, mut list) = (RegionName::new("a"), list());
    let mut turned = InstanceList::default();
    turned.apply_listing(
        at(0),
        5,
        vec![instance("a2", "a", 2), instance("a1", "a", 1)],
    );
    for n in 0..20 {
        let organisation = OrganisationId::new(&format!("o{n}"));
        let keepers = list.pool_owners_in(&region, &organisation);
        assert_eq!(keepers, turned.pool_owners_in(&region, &organisation));
        assert_eq!(keepers.len(), 1);
        assert_eq!(keepers[0].region, region);
    }
    let organisation = OrganisationId::new("o");
    let first = list.pool_owners_in(&region, &organisation)[0].id.clone();
    list.record_message(at(0), &first.name, first.incarnation.0, true);
    let next = &list.pool_owners_in(&region, &organisation)[0].id;
    assert_ne!(*next, first);
}

/// Guards against a large region without a pool while the keeper cannot be reached.
#[test]
fn keepers_in_large_region_have_a_deputy() {
    let mut list = InstanceList::default();
    let listed = (0..6).map(|n| instance(&format!("a{n}"), "a", n)).collect();
    list.apply_listing(at(0), 1, listed);
    let organisation = OrganisationId::new("o");
    let keepers = list.pool_owners_in(&RegionName::new("a"), &organisation);
    assert_eq!(keepers.len(), 2);
    assert_ne!(keepers[0].id, keepers[1].id);
}

/// Guards against many requests that wait, at the same moment, for an instance that is cut off.
#[test]
fn may_ask_unreachable_instance_is_probed_by_one() {
    let mut list = list();
    let name: InstanceName = "a2".into();
    assert!(list.allow_call(at(0), &name));
    assert!(list.allow_call(at(0), &name));
    list.mark_unreachable(at(0), &name);
    assert!(!list.allow_call(at(1_000), &name));
    assert!(list.allow_call(at(2_100), &name), "the probe");
    assert!(!list.allow_call(at(2_100), &name), "beside the probe");
    list.mark_reachable(&name);
    assert!(list.allow_call(at(2_200), &name));
    assert!(list.allow_call(at(2_200), &name));
}

/// Guards against every instance of a region reading the store, or none soon after the first ends.
#[test]
fn poll_interval_grows_with_the_rank() {
    let list = list();
    let region = RegionName::new("a");
    assert_eq!(rank_in_region(&list, &region, &"a1".into()), 0);
    assert_eq!(rank_in_region(&list, &region, &"a2".into()), 1);
    assert!(poll_interval(0) < poll_interval(1));
    assert!((0..100).all(|rank| poll_interval(rank) <= Duration::from_secs(2)));
}

/// Guards against a shorter prefix that hides a longer one, and against hosts compared with their
/// port or case.
#[test]
fn find_longest_prefix_wins() {
    let routes = [
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("other", "/c/"),
    ];
    let lookup = RouteIndex::new(&routes.map(std::sync::Arc::new));
    let name = |host, path| lookup.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("A.example:80", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/a/b").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/ab/"), None);
    assert_eq!(name("b.example", "/a/"), None);
}

/// Guards against a split that ignores its weights or moves a request between services.
#[test]
fn service_for_follows_the_weights() {
    let mut split = route("split", "/a/");
    split.services = vec![
        (ServiceName::new("x"), 90),
        (ServiceName::new("y"), 10),
        (ServiceName::new("z"), 0),
    ];
    let ids: Vec<String> = (0..4_000).map(|n| format!("{n:x}")).collect();
    let count = |name: &str| {
        ids.iter()
            .filter(|id| {
                split
                    .service_for(id)
                    .is_some_and(|found| found.as_str() == name)
            })
            .count()
    };
    assert!((3_450..3_750).contains(&count("x")), "{}", count("x"));
    assert_eq!(count("z"), 0);
    assert_eq!(split.service_for("7f"), split.service_for("7f"));
}
