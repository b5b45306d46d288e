//! Placement: requests must not wait, or be refused, where another server or region could run them.

mod common;

use std::time::Duration;

use common::{RequestContext, at, listing, regions, server, table_of_warm, work};
use hawthornquay_decisions::{
    BackendName, DomainName, InstanceId, InstanceName, Map, RegionName, ServiceName, Set,
};
use hawthornquay_traffic::{
    BackendEntry, InstanceList, ListedInstance, PlacementDecision, PlacementOptions, RegionReport,
    RegionTable, ReportedLoad, ServerFailure, ServerLoad, ServerTable, ServerUsage, ServiceReport,
    Work, place,
};

/// Returns a table of engine servers, given as identifiers with failure domains.
fn table(servers: &[(&str, &str)]) -> ServerTable {
    let entries: Vec<_> = servers
        .iter()
        .map(|(id, domain)| server(id, domain))
        .collect();
    table_of_warm(&entries)
}

/// Returns the report of a region with four servers of `llm`.
fn report(expected_ms: u64) -> RegionReport {
    let report = ServiceReport {
        servers: 4,
        free_slots: 100,
        expected_latency: Duration::from_millis(expected_ms),
        offload_permille: 0,
        event_interval: Duration::ZERO,
    };
    RegionReport {
        demands: Map::default(),
        services: [(ServiceName::new("llm"), report)].into_iter().collect(),
    }
}

/// Regions as seen by an instance in `home`; `far` is the other region.
struct Regions {
    local_region: RegionName,
    allowed_regions: Vec<RegionName>,
    table: RegionTable,
}

impl Regions {
    fn new(remote_expected_ms: u64) -> Self {
        let mut table = RegionTable::default();
        table.apply_report(&RegionName::new("far"), at(0), report(remote_expected_ms));
        Self {
            local_region: RegionName::new("home"),
            allowed_regions: regions(&["far", "home"]),
            table,
        }
    }

    fn place(
        &self,
        now_ms: u64,
        context: &RequestContext,
        work: &Work,
        table: &mut ServerTable,
    ) -> PlacementDecision {
        let options = PlacementOptions {
            local_region: &self.local_region,
            allowed_regions: &self.allowed_regions,
            may_forward: true,
            region_round_trip: Duration::from_millis(110),
            forward_margin: Duration::from_millis(40),
        };
        place(
            at(now_ms),
            &context.request(work),
            &options,
            table,
            &self.table,
        )
    }
}

/// Sends `requests` requests with long prompts to the servers of a table.
fn add_load(table: &mut ServerTable, context: &RequestContext, requests: usize) {
    for n in 0..requests {
        let work = work(n as u64, 0, 12_000);
        let pick = table.pick(at(1), &context.request(&work)).unwrap();
        table.record_sent(at(1), &pick, None);
    }
}

/// Regions have their peaks at different times, so a request above the local capacity must go to a
/// region with free capacity.
#[test]
fn place_local_peak_goes_to_idle_region() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    let regions = Regions::new(80);
    let short = work(7, 500, 1_500);
    assert!(matches!(
        regions.place(2, &context, &short, &mut table),
        PlacementDecision::Server(_)
    ));
    add_load(&mut table, &context, 8);
    let choice = regions.place(2, &context, &short, &mut table);
    assert!(
        matches!(&choice, PlacementDecision::Region { name, .. } if name.as_str() == "far"),
        "{choice:?}"
    );
}

/// When all regions are over their capacity, a request must be refused immediately. A queue would
/// make all responses late.
#[test]
fn place_overload_in_all_regions_is_refused() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    add_load(&mut table, &context, 20);
    let choice = Regions::new(2_000).place(2, &context, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Overloaded { .. }),
        "{choice:?}"
    );
}

/// A request must not be forwarded for an expected gain that is within the prediction error.
#[test]
fn place_small_gain_stays_local() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    add_load(&mut table, &context, 5);
    let choice = Regions::new(600).place(2, &context, &work(7, 500, 1_500), &mut table);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
}

/// A request must run in its allowed regions only.
#[test]
fn place_disallowed_local_region_is_not_used() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    let mut regions = Regions::new(80);
    regions.allowed_regions = common::regions(&["far"]);
    let choice = regions.place(2, &context, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Region { .. }),
        "{choice:?}"
    );
    regions.allowed_regions = common::regions(&["elsewhere"]);
    let choice = regions.place(2, &context, &work(7, 500, 1_500), &mut table);
    assert_eq!(choice, PlacementDecision::Unavailable);
}

/// When the local region is evacuated, all its requests must be forwarded.
#[test]
fn place_evacuated_region_forwards_all_requests() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    table.set_evacuated(at(0), &["home-a".into()]);
    let choice = Regions::new(80).place(2, &context, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Region { .. }),
        "{choice:?}"
    );
}

/// An old report may describe capacity that is gone, so it must not attract requests.
#[test]
fn available_load_ignores_old_report() {
    let regions = Regions::new(80);
    let far = RegionName::new("far");
    let llm = ServiceName::new("llm");
    assert!(
        regions
            .table
            .available_load(at(2_000), &far, &llm, 2_000)
            .is_some()
    );
    assert!(
        regions
            .table
            .available_load(at(3_000), &far, &llm, 2_000)
            .is_none()
    );
}

/// Guards against streams that a stopping instance cannot continue in another region: it receives no
/// more reports, and the last ones became too old 2.5 s after its stop began.
#[test]
fn available_load_of_leaving_instance_uses_last_report() {
    let mut regions = Regions::new(80);
    let far = RegionName::new("far");
    let llm = ServiceName::new("llm");
    regions.table.begin_leaving();
    let is_known = |ms| {
        let load = regions.table.available_load(at(ms), &far, &llm, 2_000);
        load.is_some()
    };
    assert!(is_known(7_600));
    assert!(!is_known(11_000));
}

/// Requests forwarded since a region's report must count as load. Otherwise a burst overloads the
/// region before its next report.
#[test]
fn available_load_includes_requests_forwarded_since_report() {
    let mut regions = Regions::new(80);
    let (far, llm) = (RegionName::new("far"), ServiceName::new("llm"));
    let before = regions
        .table
        .available_load(at(1), &far, &llm, 2_000)
        .unwrap()
        .expected_latency;
    for _ in 0..20 {
        regions.table.record_forwarded(&far, &llm, 12_000);
    }
    let after = regions
        .table
        .available_load(at(1), &far, &llm, 2_000)
        .unwrap()
        .expected_latency;
    assert!(after > before + Duration::from_millis(400), "{after:?}");
}

/// After a refusal, a region must get no request of that size until its next report, but still get
/// smaller requests and those to other services.
#[test]
fn record_refusal_blocks_requests_of_that_size_until_next_report() {
    let mut regions = Regions::new(80);
    let (far, llm) = (RegionName::new("far"), ServiceName::new("llm"));
    regions.table.record_refusal(&far, &llm, 12_000);
    let app = ServiceName::new("app");
    let is_available = |table: &RegionTable, service: &ServiceName, tokens| {
        table.available_load(at(1), &far, service, tokens).is_some()
    };
    assert!(!is_available(&regions.table, &llm, 12_000));
    assert!(is_available(&regions.table, &llm, 2_000));
    regions.table.record_refusal(&far, &app, 0);
    assert!(is_available(&regions.table, &llm, 2_000));
    regions.table.apply_report(&far, at(300), report(80));
    assert!(is_available(&regions.table, &llm, 12_000));
}

/// An instance that a single request excludes must not count as unreachable for others.
#[test]
fn has_reachable_instance_ignores_exclusions_of_one_request() {
    let region = RegionName::new("far");
    let instance = ListedInstance {
        id: InstanceId::new("i1", 1),
        region: region.clone(),
        domain: DomainName::new("far-a"),
        peer_address: "10.0.0.1:1".parse().unwrap(),
        caller_address: "10.0.0.1:2".parse().unwrap(),
        link_mbps: 0,
    };
    let mut list = InstanceList::default();
    list.apply_listing(at(0), common::rev(1), vec![instance.clone()]);
    let excluded = [instance.id.name.clone()];
    assert!(
        list.forward_target_in(at(0), &region, &"a".into(), &excluded)
            .is_none()
    );
    assert!(list.has_reachable_instance(at(0), &region));
    list.mark_unreachable(at(0), &instance.id.name);
    assert!(!list.has_reachable_instance(at(0), &region));
}

/// Requests with the same prefix must go to one server. Otherwise each server prefills the prefix
/// again.
#[test]
fn pick_shared_prefix_goes_to_one_server() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a"), ("s3", "home-b")]);
    let mut chosen: Set<BackendName> = Set::default();
    for _ in 0..6 {
        let work = work(42, 4_000, 500);
        let pick = table.pick(at(5), &context.request(&work)).unwrap();
        table.record_sent(at(5), &pick, work.shared_prefix_hash());
        table.record_first_byte(&pick, Some(Duration::from_millis(80)));
        chosen.insert(pick.id);
    }
    assert_eq!(chosen.len(), 1);
}

/// Returns a table of servers with distinct addresses: two in `home`, two in `far` and three in
/// `wide`.
fn table_of_three_regions(service: &str) -> ServerTable {
    let domains = ["home", "home", "far", "far", "wide", "wide", "wide"];
    let entries: Vec<_> = domains
        .iter()
        .enumerate()
        .map(|(n, region)| BackendEntry {
            address: format!("10.0.0.{n}:80").parse().unwrap(),
            service: ServiceName::new(service),
            ..server(&format!("s{n}"), &format!("{region}-a"))
        })
        .collect();
    table_of_warm(&entries)
}

/// If all instances pick the engine with the lowest load, that engine gets all requests until the
/// next load update. At the peak of the largest region, 22 instances each send 14 requests to 46
/// engines between two updates; no engine may get more than twice its even share.
#[test]
fn pick_in_large_region_spreads_requests_between_load_updates() {
    let entries: Vec<_> = (0..46)
        .map(|n| BackendEntry {
            slots: 24,
            ..server(&format!("s{n}"), "home-a")
        })
        .collect();
    let region_instances: Vec<_> = (0..22)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let rows: Vec<_> = (0..46)
        .map(|n| ServerUsage {
            id: BackendName::new(&format!("s{n}")),
            requests: n % 8,
            pending_tokens: 0,
        })
        .collect();
    let mut sent: Map<BackendName, u32> = Map::default();
    for (index, instance) in region_instances.iter().enumerate() {
        let context = RequestContext {
            instance: instance.clone(),
            region_instances: region_instances.clone(),
            ..RequestContext::default()
        };
        let mut table = table_of_warm(&entries);
        table.apply_peer_usage(at(0), 21, &rows);
        for n in 0..14 {
            let work = work(index as u64 * 100 + n, 300, 2_000);
            let pick = table.pick(at(10 * n), &context.request(&work)).unwrap();
            table.record_sent(at(10 * n), &pick, work.shared_prefix_hash());
            *sent.entry(pick.id).or_default() += 1;
        }
    }
    let even = 22.0 * 14.0 / 46.0;
    let most = sent.values().copied().max().unwrap_or(0);
    assert!(f64::from(most) <= 2.0 * even, "{most} of {even:.1}");
}

/// An instance that is cut off from its peers must rely on the servers' own reports for longer.
/// Otherwise it overloads servers that its peers keep busy.
#[test]
fn requests_without_peer_usage_rely_on_reports_for_longer() {
    let reported = ReportedLoad {
        running: 24,
        waiting: 10,
        slots: 24,
        pace: None,
    };
    let mut load = ServerLoad::default();
    load.apply_peer_usage(at(0), 2, 5, 0);
    load.record_load_report(at(0), reported);
    assert_eq!(load.requests(at(300)), 34);
    assert_eq!(
        load.requests(at(500)),
        5,
        "an older report is ignored while peers report their usage"
    );
    load.record_load_report(at(3_000), reported);
    assert_eq!(
        load.requests(at(4_000)),
        34,
        "no usage from peers for three seconds"
    );
    assert_eq!(load.requests(at(5_000)), 0);
}

/// The sample of engines in a large region may be empty; the request must still get an engine.
#[test]
fn pick_with_empty_sample_finds_engine() {
    let context = RequestContext {
        region_instances: (0..22)
            .map(|n| InstanceName::new(&format!("i{n}")))
            .collect(),
        ..RequestContext::default()
    };
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a"), ("s3", "home-b")]);
    let unshared = Work {
        parts: Vec::new(),
        ..work(1, 0, 500)
    };
    for n in 0..200 {
        assert!(
            table.pick(at(n), &context.request(&unshared)).is_some(),
            "{n}"
        );
    }
}

/// A server without the shared prefix must copy it from the preferred server of the local region
/// or, for the preferred server itself, from one of the largest other region.
#[test]
fn pick_copies_shared_prefix_from_preferred_server() {
    let (context, work) = (RequestContext::default(), work(42, 4_000, 500));
    let mut table = table_of_three_regions("llm");
    let first = table.pick(at(5), &context.request(&work)).unwrap();
    let wide_addresses = ["10.0.0.4:80", "10.0.0.5:80", "10.0.0.6:80"];
    let source = first.copy_from.unwrap().to_string();
    assert!(wide_addresses.contains(&source.as_str()), "{source}");
    for _ in 0..100 {
        table.record_sent(at(5), &first, None);
    }
    let second = table.pick(at(5), &context.request(&work)).unwrap();
    assert_ne!(second.id, first.id, "the preferred server is full");
    assert_eq!(second.copy_from, Some(first.address));
}

/// Prompts must only be copied from regions that may store them, and only to engines: plain
/// services have no cache, and prompts without shared parts have nothing to copy.
#[test]
fn pick_copies_only_from_storage_regions_and_engines() {
    let mut context = RequestContext::default();
    let shared = work(42, 4_000, 500);
    context.storage_regions = regions(&["home", "far"]);
    let mut table = table_of_three_regions("llm");
    let pick = table.pick(at(5), &context.request(&shared)).unwrap();
    let source = pick.copy_from.unwrap().to_string();
    assert!(["10.0.0.2:80", "10.0.0.3:80"].contains(&source.as_str()));
    context.storage_regions = regions(&["home"]);
    let pick = table.pick(at(5), &context.request(&shared)).unwrap();
    assert_eq!(pick.copy_from, None, "no other region may store the prompt");
    let unshared = Work {
        parts: Vec::new(),
        ..work(42, 0, 500)
    };
    let pick = table.pick(at(5), &context.request(&unshared)).unwrap();
    assert_eq!(pick.copy_from, None, "the prompt has no shared part");
    context.storage_regions = regions(&["home", "far"]);
    context.service = ServiceName::new("app");
    let mut table = table_of_three_regions("app");
    let pick = table.pick(at(5), &context.request(&shared)).unwrap();
    assert_eq!(pick.copy_from, None, "a plain service has no cache");
}

/// Requests with the same prefix must spread to other servers once the preferred one is loaded.
#[test]
fn pick_shared_prefix_yields_to_load() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a")]);
    let mut chosen: Set<BackendName> = Set::default();
    for _ in 0..12 {
        let work = work(42, 4_000, 2_000);
        let pick = table.pick(at(5), &context.request(&work)).unwrap();
        table.record_sent(at(5), &pick, work.shared_prefix_hash());
        chosen.insert(pick.id);
    }
    assert_eq!(chosen.len(), 2);
}

/// A restarted process may read the list of servers before the configuration. It must treat engines
/// as engines once it has both.
#[test]
fn configure_after_listing_recognises_engines() {
    let context = RequestContext::default();
    let work = work(1, 0, 9_500);
    let reference = table(&[("s1", "home-a")]).pick(at(0), &context.request(&work));
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &[server("s1", "home-a")]));
    table.configure(&context.configuration);
    let pick = table.pick(at(0), &context.request(&work));
    assert_eq!(
        pick.map(|pick| pick.expected_latency),
        reference.map(|pick| pick.expected_latency)
    );
}

/// A server that is reachable but returns errors must not keep its full share of requests.
#[test]
fn pick_avoids_failing_server() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a")]);
    let failing = BackendName::new("s1");
    for _ in 0..5 {
        table.record_failure(
            at(5),
            &failing,
            ServerFailure::BadResponse,
            &context.configuration,
        );
    }
    for prefix in 0..10 {
        let work = work(prefix, 1_000, 500);
        let pick = table.pick(at(6), &context.request(&work)).unwrap();
        assert_eq!(pick.id.as_str(), "s2");
    }
}

/// The only server of a region must stay in use after a single lost response. It must get no
/// requests while it is unreachable.
#[test]
fn pick_after_lost_response_keeps_only_server() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    let id = BackendName::new("s1");
    table.record_failure(
        at(5),
        &id,
        ServerFailure::BadResponse,
        &context.configuration,
    );
    let work = work(1, 100, 100);
    assert!(table.pick(at(6), &context.request(&work)).is_some());
    table.record_failure(
        at(7),
        &id,
        ServerFailure::Unreachable,
        &context.configuration,
    );
    assert!(table.pick(at(8), &context.request(&work)).is_none());
}

/// The instances of a region must together keep to the request rate of a cold server.
#[test]
fn pick_cold_server_keeps_its_rate_across_instances() {
    let region_instances: Vec<InstanceName> = (0..4)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let mut cold = server("s1", "home-a");
    cold.cold_remaining = Duration::from_secs(3);
    let mut fleet: Vec<(RequestContext, ServerTable)> = region_instances
        .iter()
        .map(|name| {
            let context = RequestContext {
                instance: name.clone(),
                region_instances: region_instances.clone(),
                ..RequestContext::default()
            };
            let mut table = ServerTable::default();
            let entries = listing(1, std::slice::from_ref(&cold));
            table.apply_listing(at(0), at(0), &entries);
            table.configure(&context.configuration);
            (context, table)
        })
        .collect();
    let work = work(1, 100, 100);
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..2_800).step_by(10) {
        for (context, table) in &mut fleet {
            if let Some(pick) = table.pick(at(ms), &context.request(&work)) {
                table.record_sent(at(ms), &pick, None);
                sent.push(ms);
            }
        }
    }
    // Bound of the deployments: 1.5 times the rate plus 3 requests in any second.
    let bound = (4.6_f64 * 1.5 + 3.0) as usize;
    for start in &sent {
        let second = sent
            .iter()
            .filter(|ms| (*start..start + 1_000).contains(ms));
        assert!(second.count() <= bound);
    }
    assert!(sent.len() >= 6, "{}", sent.len());
}

/// Instances that had just started and did not know each other yet sent to a cold server all at once,
/// and it crashed.
#[test]
fn pick_cold_server_of_unsettled_region_is_left_out() {
    let mut cold = server("s1", "home-a");
    cold.cold_remaining = Duration::from_secs(3);
    let mut context = RequestContext {
        is_region_settled: false,
        ..RequestContext::default()
    };
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &[cold]));
    table.configure(&context.configuration);
    let work = work(1, 100, 100);
    assert!(table.pick(at(10), &context.request(&work)).is_none());
    context.is_region_settled = true;
    assert!(table.pick(at(20), &context.request(&work)).is_some());
    context.is_region_settled = false;
    assert!(table.pick(at(3_010), &context.request(&work)).is_some());
}

/// A server that had started again while its domain was taken back took the full load of all instances,
/// because its entry was written before and did not say that it is cold.
#[test]
fn apply_listing_new_process_counts_as_cold() {
    let context = RequestContext {
        is_region_settled: false,
        ..RequestContext::default()
    };
    let work = work(1, 100, 100);
    let domain = DomainName::new("home-a");
    let restarted = |id: &str| {
        let mut server = server(id, "home-a");
        server.started_ms += 1;
        server
    };
    let picks = |table: &mut ServerTable, ms| table.pick(at(ms), &context.request(&work)).is_some();

    let mut table = table(&[("s1", "home-a")]);
    table.configure(&context.configuration);
    assert!(picks(&mut table, 10));
    table.apply_listing(at(20), at(20), &listing(2, &[restarted("s1")]));
    assert!(!picks(&mut table, 3_010));
    assert!(picks(&mut table, 3_030));

    table.set_evacuated(at(4_000), std::slice::from_ref(&domain));
    table.set_evacuated(at(5_000), &[]);
    table.apply_listing(at(6_000), at(6_000), &listing(3, &[server("s2", "home-a")]));
    assert!(!picks(&mut table, 7_990));
    assert!(picks(&mut table, 8_010));
}

/// A leaving server must get no requests even if a later list does not mark it as leaving. Only a
/// restarted server is available again.
#[test]
fn apply_listing_keeps_leaving_server_leaving() {
    let context = RequestContext::default();
    let mut table = table(&[("s1", "home-a")]);
    let mut leaving = server("s1", "home-a");
    leaving.leaving = true;
    table.apply_listing(at(10), at(10), &listing(2, &[leaving]));
    table.apply_listing(at(20), at(20), &listing(3, &[server("s1", "home-a")]));
    assert!(
        table
            .pick(at(21), &context.request(&work(1, 0, 10)))
            .is_none()
    );
    let mut restarted = server("s1", "home-a");
    restarted.started_ms = 2;
    table.apply_listing(at(30), at(30), &listing(4, &[restarted]));
    assert!(
        table
            .pick(at(31), &context.request(&work(1, 0, 10)))
            .is_some()
    );
}

/// Entries of servers expire during an outage of the store. Missing servers must stay in use for
/// the grace period, must not be sent to other instances, and must be dropped afterwards.
#[test]
fn apply_listing_after_store_outage_keeps_missing_servers() {
    let context = RequestContext::default();
    let request = work(1, 0, 10);
    let mut table = table(&[("s1", "home-a")]);
    table.apply_listing(at(8_000), at(8_000), &listing(2, &[]));
    assert!(table.pick(at(8_001), &context.request(&request)).is_some());
    assert!(table.listing(at(8_001)).servers.is_empty());
    // An unchanged list is confirmed, but not applied again.
    table.confirm(at(9_300));
    assert!(table.pick(at(10_301), &context.request(&request)).is_some());
    assert!(table.pick(at(10_501), &context.request(&request)).is_none());
    table.apply_listing(at(10_600), at(10_600), &listing(3, &[]));
    assert!(table.is_empty());
}

/// An older list must not replace a newer one.
#[test]
fn apply_listing_ignores_older_revision() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(9, &entries));
    table.apply_listing(at(5), at(5), &listing(8, &entries[..1]));
    assert_eq!(table.len(), 2);
}

/// A region that sends requests of its own away must get none of another region, but those that
/// have no other place.
#[test]
fn place_offloading_region_is_last_resort() {
    let context = RequestContext::default();
    let work = work(1, 0, 100);
    let mut regions = Regions::new(10);
    let mut offloading = report(10);
    for service in offloading.services.values_mut() {
        service.offload_permille = 50;
    }
    let far = RegionName::new("far");
    regions.table.apply_report(&far, at(1), offloading);
    let mut busy = table(&[("s1", "home-a")]);
    add_load(&mut busy, &context, 5);
    let decision = regions.place(2, &context, &work, &mut busy);
    assert!(
        matches!(decision, PlacementDecision::Server(_)),
        "{decision:?}"
    );
    let decision = regions.place(2, &context, &work, &mut table(&[]));
    assert!(
        matches!(decision, PlacementDecision::Region { .. }),
        "{decision:?}"
    );
}
