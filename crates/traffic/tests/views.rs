//! Local views of the store, the list of instances and routes: views must not go back to an older
//! state, and callers and requests must reach the right instances.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{at, configuration, rev, route};
use hawthornquay_decisions::{
    DomainName, InstanceId, InstanceName, OrganisationId, RegionName, ServiceName,
};
use hawthornquay_traffic::{
    Configuration, HomeDemand, HomeRegions, InstanceList, ListedInstance, OperatorView, Route,
    RouteIndex, poll_interval,
};

fn instance(name: &str, region: &str, host: u8) -> ListedInstance {
    let address = |port| SocketAddr::from(([10, 0, 0, host], port));
    ListedInstance {
        id: InstanceId::new(name, 1),
        region: RegionName::new(region),
        domain: DomainName::new(&format!("{region}-a")),
        peer_address: address(1),
        caller_address: address(2),
        link_mbps: 0,
    }
}

fn list() -> InstanceList {
    let mut list = InstanceList::default();
    let listed = vec![
        instance("a1", "a", 1),
        instance("a2", "a", 2),
        instance("b1", "b", 3),
    ];
    assert!(list.apply_listing(at(0), rev(5), listed));
    list
}

fn hosts(list: &InstanceList, now_ms: u64, region: &str) -> Vec<String> {
    hosts_with_homes(list, now_ms, region, Some(&HomeRegions::default()))
}

fn hosts_with_homes(
    list: &InstanceList,
    now_ms: u64,
    region: &str,
    homes: Option<&HomeRegions>,
) -> Vec<String> {
    let domain = DomainName::new(&format!("{region}-a"));
    let region = RegionName::new(region);
    list.addresses_for(at(now_ms), &"a1".into(), &region, &domain, homes)
        .addresses
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// A store or peer that lags behind must not bring back an older configuration.
#[test]
fn install_rejects_lower_version() {
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

/// An older view must not end an evacuation or start one again.
#[test]
fn set_evacuated_ignores_older_revision() {
    let mut view = OperatorView::default();
    assert!(view.set_evacuated(at(0), rev(10), &["a-a".into()]));
    assert!(!view.set_evacuated(at(0), rev(9), &[]));
    assert_eq!(view.evacuated().len(), 1);
    assert!(view.set_evacuated(at(0), rev(11), &[]));
}

/// Confirming an older revision must not reset the age of a newer view.
#[test]
fn confirm_older_revision_does_not_reset_age() {
    let mut view = OperatorView::default();
    view.set_evacuated(at(0), rev(10), &[]);
    view.confirm(rev(10), at(0));
    view.confirm(rev(9), at(5_000));
    assert_eq!(view.age(at(6_000)), Some(Duration::from_secs(6)));
}

/// Callers must get addresses in their own region, because some requests must not leave it. Only a
/// region without instances gets the addresses of others.
#[test]
fn addresses_for_caller_are_in_its_region() {
    let list = list();
    assert_eq!(hosts(&list, 0, "a"), ["10.0.0.1:2", "10.0.0.2:2"]);
    assert_eq!(hosts(&list, 0, "b"), ["10.0.0.3:2"]);
    assert_eq!(hosts(&list, 0, "c").len(), 3);
}

/// Guards against requests whose home regions exclude a region being sent there by the directory when
/// no instance of the caller's region is usable.
#[test]
fn addresses_for_region_without_instances_stay_in_home_regions() {
    let list = list();
    let homes = |names: &[&str]| {
        let weights = names.iter().map(|name| ((*name).into(), 1));
        HomeRegions::new(weights.collect())
    };
    let named = |region, names| hosts_with_homes(&list, 0, region, Some(&homes(names)));
    assert_eq!(named("c", &["b", "c"]), ["10.0.0.3:2"]);
    assert!(named("c", &["c"]).is_empty());
    assert_eq!(named("b", &["a"]), ["10.0.0.3:2"]);
}

/// Callers must not get the address of a leaving or silent instance. A new process of the same name
/// must not count as leaving.
#[test]
fn addresses_for_caller_exclude_leaving_and_silent_instances() {
    let mut list = list();
    list.record_message(at(0), &"a2".into(), 1, true);
    assert_eq!(hosts(&list, 0, "a"), ["10.0.0.1:2"]);
    list.record_message(at(1), &"a2".into(), 1, false);
    assert_eq!(hosts(&list, 1, "a"), ["10.0.0.1:2"]);
    let mut restarted = instance("a2", "a", 2);
    restarted.id = InstanceId::new("a2", 2);
    list.apply_listing(at(0), rev(6), vec![instance("a1", "a", 1), restarted]);
    list.record_message(at(2), &"a2".into(), 2, false);
    assert_eq!(hosts(&list, 2, "a").len(), 2);
    assert_eq!(hosts(&list, 5_000, "a"), ["10.0.0.1:2"]);
}

/// Guards against restarted instances that stay out of the directory: their earlier processes
/// announced that they were leaving, and the new ones send messages only to the leader.
#[test]
fn addresses_for_caller_include_restarted_instance_without_messages() {
    let mut list = list();
    list.record_message(at(0), &"b1".into(), 1, true);
    assert!(hosts_with_homes(&list, 0, "b", None).is_empty());
    let mut restarted = instance("b1", "b", 3);
    restarted.id = InstanceId::new("b1", 2);
    let listed = vec![instance("a1", "a", 1), instance("a2", "a", 2), restarted];
    list.apply_listing(at(1_000), rev(6), listed);
    assert_eq!(hosts(&list, 10_000, "b"), ["10.0.0.3:2"]);
}

/// Guards against a former leader that stays out of the directory: it sends no more messages once
/// another instance leads its region. The present leader's silence counts.
#[test]
fn addresses_for_caller_include_former_leader() {
    let mut list = list();
    let listed = vec![
        instance("a1", "a", 1),
        instance("b1", "b", 3),
        instance("b2", "b", 4),
    ];
    list.apply_listing(at(0), rev(6), listed);
    list.record_message(at(0), &"b1".into(), 1, false);
    list.record_message(at(5_000), &"b2".into(), 1, false);
    assert_eq!(hosts(&list, 6_000, "b"), ["10.0.0.3:2", "10.0.0.4:2"]);
    assert_eq!(hosts(&list, 8_000, "b"), ["10.0.0.3:2"]);
}

/// Guards against the directory of a stopping instance that leaves out the instances that still
/// run: they no longer send messages to it.
#[test]
fn addresses_for_caller_of_leaving_instance_include_silent_instances() {
    let mut list = list();
    list.record_message(at(0), &"a1".into(), 1, true);
    list.record_message(at(100), &"a2".into(), 1, false);
    assert_eq!(hosts(&list, 200, "a"), ["10.0.0.2:2"]);
    assert_eq!(hosts(&list, 5_000, "a"), ["10.0.0.2:2"]);
}

/// Guards against the directory of a stopping instance that names again an instance whose silence
/// it had noticed before its stop.
#[test]
fn addresses_for_caller_of_leaving_instance_exclude_instance_silent_before() {
    let mut list = list();
    list.record_message(at(0), &"a2".into(), 1, false);
    list.record_message(at(5_000), &"a1".into(), 1, true);
    assert_eq!(hosts(&list, 5_001, "a"), ["10.0.0.3:2"]);
    assert_eq!(hosts(&list, 9_000, "a"), ["10.0.0.3:2"]);
}

/// Guards against a directory that names only itself once its instance leads again: the messages of
/// the others date from the time when it led before.
#[test]
fn addresses_for_caller_include_silent_instances_at_hand_over() {
    let mut list = list();
    let listed = vec![
        instance("a1", "a", 1),
        instance("a2", "a", 2),
        instance("a3", "a", 4),
    ];
    list.apply_listing(at(0), rev(6), listed);
    let others = ["10.0.0.2:2", "10.0.0.4:2"];
    list.record_leadership(at(0), true);
    for name in ["a2", "a3"] {
        list.record_message(at(2_000), &name.into(), 1, false);
    }
    assert_eq!(hosts(&list, 3_000, "a")[1..], others);
    assert_eq!(
        hosts(&list, 6_000, "a").len(),
        1,
        "both are silent to the leader"
    );
    list.record_leadership(at(10_000), false);
    list.record_leadership(at(60_000), true);
    list.record_message(at(59_000), &"a2".into(), 1, false);
    assert_eq!(hosts(&list, 60_100, "a")[1..], others);
}

/// Guards against two leaders: nobody sends to a stopping instance, so all others are silent to it
/// after a while.
#[test]
fn is_leader_is_false_for_stopping_instance() {
    let mut list = list();
    let (region, own) = (RegionName::new("a"), InstanceName::new("a1"));
    assert!(list.is_leader(at(0), &region, &own));
    list.record_message(at(0), &"a2".into(), 1, false);
    list.record_message(at(0), &own, 1, true);
    assert!(!list.is_leader(at(0), &region, &own));
    assert!(!list.is_leader(at(10_000), &region, &own));
}

/// Guards against a region that is led for ever by a registered instance that never sends a message,
/// such as one that ended right after its registration; and against one that is replaced although it
/// sends.
#[test]
fn track_leader_replaces_leader_that_never_sends() {
    let mut list = list();
    let (region, own) = (RegionName::new("a"), InstanceName::new("a2"));
    for ms in (0..=2_500).step_by(300) {
        list.track_leader(at(ms), &region, &own);
        assert!(!list.is_leader(at(ms), &region, &own), "{ms} ms");
    }
    list.track_leader(at(2_600), &region, &own);
    assert!(list.is_leader(at(2_600), &region, &own));
    list.record_message(at(2_700), &"a1".into(), 1, false);
    for ms in (2_700..=9_000).step_by(300) {
        list.record_message(at(ms), &"a1".into(), 1, false);
        list.track_leader(at(ms), &region, &own);
        assert!(!list.is_leader(at(ms), &region, &own), "{ms} ms");
    }
}

/// An unreachable instance must be replaced by another one of its region until its backoff ends.
#[test]
fn forward_target_in_replaces_unreachable_instance() {
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

/// After a network partition, two regions would never receive each other's reports again if each
/// kept sending to an instance that does not lead the other. All instances must be tried.
#[test]
fn leader_candidates_in_silent_region_include_all_in_turn() {
    let mut list = InstanceList::default();
    let listed = (1..6).map(|n| instance(&format!("a{n}"), "a", n)).collect();
    list.apply_listing(at(0), rev(5), listed);
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

/// The entry of an instance that cannot reach the store expires. As long as it sends messages, it
/// must still receive status messages: without the reports of the other regions it would refuse
/// requests that only they can run.
#[test]
fn status_receivers_in_include_unlisted_instance_until_silent() {
    let region = RegionName::new("a");
    let mut list = list();
    list.record_message(at(1_000), &"a2".into(), 1, false);
    list.apply_listing(at(2_000), rev(6), vec![instance("a1", "a", 1)]);
    let names = |list: &InstanceList, ms| -> Vec<String> {
        list.status_receivers_in(at(ms), &region)
            .map(|instance| instance.id.name.to_string())
            .collect()
    };
    assert_eq!(names(&list, 2_000), ["a1", "a2"]);
    assert!(list.get(&"a2".into()).is_some());
    assert_eq!(
        hosts(&list, 2_000, "a"),
        ["10.0.0.1:2"],
        "callers get listed instances only"
    );
    list.apply_listing(at(3_000), rev(7), vec![instance("a1", "a", 1)]);
    assert_eq!(names(&list, 3_000), ["a1", "a2"], "kept after another list");
    assert_eq!(names(&list, 4_000), ["a1"], "dropped when silent");
}

/// In a small region, all instances must agree on one owner of an organisation's pool, whatever the
/// order of their lists, and the owner must not be a leaving instance.
#[test]
fn pool_owners_in_small_region_is_one_active_instance() {
    let (region, mut list) = (RegionName::new("a"), list());
    let mut reordered = InstanceList::default();
    reordered.apply_listing(
        at(0),
        rev(5),
        vec![instance("a2", "a", 2), instance("a1", "a", 1)],
    );
    for n in 0..20 {
        let organisation = OrganisationId::new(&format!("o{n}"));
        let owners = list.pool_owners_in(&region, &organisation);
        assert_eq!(owners, reordered.pool_owners_in(&region, &organisation));
        assert_eq!(owners.len(), 1);
        assert_eq!(owners[0].region, region);
    }
    let organisation = OrganisationId::new("o");
    let first = list.pool_owners_in(&region, &organisation)[0].id.clone();
    list.record_message(at(0), &first.name, first.incarnation.0, true);
    let next = &list.pool_owners_in(&region, &organisation)[0].id;
    assert_ne!(*next, first);
}

/// A large region must have a second pool owner, so that it has a pool while the first is
/// unreachable.
#[test]
fn pool_owners_in_large_region_are_two() {
    let mut list = InstanceList::default();
    let listed = (0..6).map(|n| instance(&format!("a{n}"), "a", n)).collect();
    list.apply_listing(at(0), rev(1), listed);
    let organisation = OrganisationId::new("o");
    let owners = list.pool_owners_in(&RegionName::new("a"), &organisation);
    assert_eq!(owners.len(), 2);
    assert_ne!(owners[0].id, owners[1].id);
}

/// After the backoff of an unreachable instance, a single call must probe it, so that other
/// requests do not wait for it too.
#[test]
fn allow_call_probes_unreachable_instance_once() {
    let mut list = list();
    let name: InstanceName = "a2".into();
    assert!(list.allow_call(at(0), &name));
    assert!(list.allow_call(at(0), &name));
    list.mark_unreachable(at(0), &name);
    assert!(!list.allow_call(at(1_000), &name));
    assert!(
        list.allow_call(at(2_100), &name),
        "one call after the backoff"
    );
    assert!(
        !list.allow_call(at(2_100), &name),
        "a second call during the probe"
    );
    list.mark_reachable(&name);
    assert!(list.allow_call(at(2_200), &name));
    assert!(list.allow_call(at(2_200), &name));
}

/// Only the first instance of a region must read the store regularly, and the others must take over
/// within two seconds when it fails.
#[test]
fn poll_interval_grows_with_rank() {
    let list = list();
    let region = RegionName::new("a");
    assert_eq!(list.leadership_rank(&region, &"a1".into()), 0);
    assert_eq!(list.leadership_rank(&region, &"a2".into()), 1);
    assert!(poll_interval(0) < poll_interval(1));
    assert!((0..100).all(|rank| poll_interval(rank) <= Duration::from_secs(2)));
}

/// Guards against a forwarded request without organisation, to which the receiver would not apply the
/// organisation's home regions: only open routes and configurations without organisations need none.
#[test]
fn requires_organisation_unless_route_is_open() {
    let configured = configuration(1, 1);
    let open = Route {
        open: true,
        ..route("open", "/a/")
    };
    assert!(configured.requires_organisation(&route("closed", "/b/")));
    assert!(!configured.requires_organisation(&open));
    assert!(!Configuration::default().requires_organisation(&route("closed", "/b/")));
}

/// The longest prefix must win, and hosts must be compared without port and case.
#[test]
fn find_prefers_longest_prefix() {
    let routes = [
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("other", "/c/"),
    ];
    let index = RouteIndex::new(&routes.map(std::sync::Arc::new));
    let name = |host, path| index.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("A.example:80", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/a/b").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/ab/"), None);
    assert_eq!(name("b.example", "/a/"), None);
}

/// Guards against callers being sent to a region that is a home to little of what they request, and
/// against routes with other homes, or the loss of the best region, leaving no region at all.
#[test]
fn home_regions_follow_requests_and_routes() {
    let with_homes = |name: &str, prefix: &str, host: &str, homes: &[&str]| Route {
        host: host.to_owned(),
        home_regions: homes.iter().map(|name| (*name).into()).collect(),
        ..route(name, prefix)
    };
    let routes = [
        with_homes("busy", "/1/", "a.example", &["a", "b"]),
        with_homes("idle", "/2/", "a.example", &["a"]),
        with_homes("rare", "/3/", "a.example", &["c"]),
        with_homes("open", "/4/", "a.example", &[]),
        with_homes("plain", "/5/", "b.example", &[]),
    ];
    let routes = RouteIndex::new(&routes.map(std::sync::Arc::new));
    let mut demand = HomeDemand::default();
    let named = |demand: &mut HomeDemand, host, usable: &[&str]| {
        let usable: Vec<RegionName> = usable.iter().map(|name| (*name).into()).collect();
        let homes = demand.home_regions(&routes, host);
        let best = homes.best_of(&usable.iter().collect());
        let mut names: Vec<_> = best.iter().map(ToString::to_string).collect();
        names.sort();
        names.join(" ")
    };
    assert_eq!(
        named(&mut demand, "A.example:80", &["a", "b", "c", "d"]),
        "a"
    );
    assert_eq!(named(&mut demand, "a.example", &["b", "d"]), "b");
    assert_eq!(named(&mut demand, "a.example", &["d"]), "");
    assert_eq!(named(&mut demand, "b.example", &["a", "d"]), "a d");
    assert_eq!(named(&mut demand, "unknown.example", &["b", "d"]), "b");

    for _ in 0..100 {
        demand.record("a.example", &["a".into(), "b".into()]);
    }
    demand.record("a.example", &["c".into()]);
    assert_eq!(named(&mut demand, "a.example", &["a", "b", "c"]), "a b");
    assert_eq!(named(&mut demand, "a.example", &["b", "c"]), "b");
}

/// A traffic split must follow its weights, and a request identifier must always get the same
/// service.
#[test]
fn service_for_follows_weights() {
    let mut split_route = route("split", "/a/");
    split_route.services = vec![
        (ServiceName::new("x"), 90),
        (ServiceName::new("y"), 10),
        (ServiceName::new("z"), 0),
    ];
    let ids: Vec<String> = (0..4_000).map(|n| format!("{n:x}")).collect();
    let count = |name: &str| {
        ids.iter()
            .filter(|id| {
                split_route
                    .service_for(id)
                    .is_some_and(|found| found.as_str() == name)
            })
            .count()
    };
    assert!((3_450..3_750).contains(&count("x")), "{}", count("x"));
    assert_eq!(count("z"), 0);
    assert_eq!(split_route.service_for("7f"), split_route.service_for("7f"));
}
