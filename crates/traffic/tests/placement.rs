//! Guards against requests that wait, or are refused, where another place would serve them.

mod common;

use std::time::Duration;

use common::{Asker, at, listing, regions, server, work};
use hawthornquay_decisions::{
    BackendName, DomainName, InstanceId, InstanceName, Map, RegionName, ServiceName, Set,
};
use hawthornquay_traffic::{
    BackendEntry, InstanceList, ListedInstance, PlacementDecision, PlacementOptions, RegionReport,
    RegionTable, ReportedLoad, ServerFailure, ServerLoad, ServerTable, ServerUsage, ServiceReport,
    Work, place,
};

fn table(servers: &[(&str, &str)]) -> ServerTable {
    let entries: Vec<_> = servers
        .iter()
        .map(|(id, domain)| server(id, domain))
        .collect();
    let mut table = ServerTable::default();
    let asker = Asker::default();
    table.apply_listing(at(0), at(0), &listing(1, &entries));
    table.configure(&asker.configuration);
    table
}

fn report(wait_ms: u64) -> RegionReport {
    let report = ServiceReport {
        servers: 4,
        free_slots: 100,
        expected_latency: Duration::from_millis(wait_ms),
    };
    RegionReport {
        demands: Map::default(),
        services: [(ServiceName::new("llm"), report)].into_iter().collect(),
    }
}

struct Regions {
    home: RegionName,
    allowed: Vec<RegionName>,
    board: RegionTable,
}

impl Regions {
    fn new(remote_wait_ms: u64) -> Self {
        let mut board = RegionTable::default();
        board.apply_report(&RegionName::new("far"), at(0), report(remote_wait_ms));
        Self {
            home: RegionName::new("home"),
            allowed: regions(&["far", "home"]),
            board,
        }
    }

    fn place(
        &self,
        now_ms: u64,
        asker: &Asker,
        work: &Work,
        table: &mut ServerTable,
    ) -> PlacementDecision {
        let terms = PlacementOptions {
            local_region: &self.home,
            allowed_regions: &self.allowed,
            may_forward: true,
            region_round_trip: Duration::from_millis(110),
            forward_margin: Duration::from_millis(40),
        };
        place(at(now_ms), &asker.request(work), &terms, table, &self.board)
    }
}

/// Fills a server with unread prompts.
fn load(table: &mut ServerTable, asker: &Asker, requests: usize) {
    for n in 0..requests {
        let work = work(n as u64, 0, 12_000);
        let pick = table.pick(at(1), &asker.request(&work)).unwrap();
        table.record_sent(at(1), &pick, None);
    }
}

/// Pattern: peaks of regions are offset, and the own region is over its capacity.
#[test]
fn place_own_peak_goes_to_the_idle_region() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    let regions = Regions::new(80);
    let short = work(7, 500, 1_500);
    assert!(matches!(
        regions.place(2, &asker, &short, &mut table),
        PlacementDecision::Server(_)
    ));
    load(&mut table, &asker, 8);
    let choice = regions.place(2, &asker, &short, &mut table);
    assert!(
        matches!(&choice, PlacementDecision::Region { name, .. } if name.as_str() == "far"),
        "{choice:?}"
    );
}

/// Pattern: all regions are over their capacity; a queue would make everything late.
#[test]
fn place_overload_everywhere_is_refused_at_once() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    load(&mut table, &asker, 20);
    let choice = Regions::new(2_000).place(2, &asker, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Overloaded { .. }),
        "{choice:?}"
    );
}

/// Guards against a request that is sent away for a gain within the noise of the predictions.
#[test]
fn place_small_gain_stays_at_home() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    load(&mut table, &asker, 5);
    let choice = Regions::new(600).place(2, &asker, &work(7, 500, 1_500), &mut table);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
}

/// Guards against requests that run outside their homes.
#[test]
fn place_home_elsewhere_never_runs_here() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    let mut regions = Regions::new(80);
    regions.allowed = common::regions(&["far"]);
    let choice = regions.place(2, &asker, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Region { .. }),
        "{choice:?}"
    );
    regions.allowed = common::regions(&["elsewhere"]);
    let choice = regions.place(2, &asker, &work(7, 500, 1_500), &mut table);
    assert_eq!(choice, PlacementDecision::Unavailable);
}

/// Pattern: the own region is evacuated at its peak.
#[test]
fn place_evacuated_region_sends_everything_away() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    table.set_evacuated(&["home-a".into()]);
    let choice = Regions::new(80).place(2, &asker, &work(7, 500, 1_500), &mut table);
    assert!(
        matches!(choice, PlacementDecision::Region { .. }),
        "{choice:?}"
    );
}

/// Guards against all instances sending to a region whose report is old.
#[test]
fn offer_old_report_is_not_used() {
    let regions = Regions::new(80);
    let far = RegionName::new("far");
    let llm = ServiceName::new("llm");
    assert!(
        regions
            .board
            .available_load(at(2_000), &far, &llm, 2_000)
            .is_some()
    );
    assert!(
        regions
            .board
            .available_load(at(3_000), &far, &llm, 2_000)
            .is_none()
    );
}

/// Guards against a burst that floods one region between two of its reports.
#[test]
fn offer_counts_what_was_sent_since_the_report() {
    let mut regions = Regions::new(80);
    let (far, llm) = (RegionName::new("far"), ServiceName::new("llm"));
    let before = regions
        .board
        .available_load(at(1), &far, &llm, 2_000)
        .unwrap()
        .expected_latency;
    for _ in 0..20 {
        regions.board.record_forwarded(&far, &llm, 12_000);
    }
    let after = regions
        .board
        .available_load(at(1), &far, &llm, 2_000)
        .unwrap()
        .expected_latency;
    assert!(after > before + Duration::from_millis(400), "{after:?}");
}

/// Guards against a region that is left alone for all requests because it refused a long one, and
/// against one that is asked again at once for what it has just refused.
#[test]
fn refuse_lasts_until_the_next_report_for_requests_of_the_size() {
    let mut regions = Regions::new(80);
    let (far, llm) = (RegionName::new("far"), ServiceName::new("llm"));
    regions.board.record_refusal(&far, &llm, 12_000);
    let app = ServiceName::new("app");
    let offer = |board: &RegionTable, service: &ServiceName, tokens| {
        board.available_load(at(1), &far, service, tokens).is_some()
    };
    assert!(!offer(&regions.board, &llm, 12_000));
    assert!(offer(&regions.board, &llm, 2_000));
    regions.board.record_refusal(&far, &app, 0);
    assert!(offer(&regions.board, &llm, 2_000));
    regions.board.apply_report(&far, at(300), report(80));
    assert!(offer(&regions.board, &llm, 12_000));
}

/// Guards against an instance that is taken for unreachable because one request avoids it.
#[test]
fn has_receiver_only_reachability_counts() {
    let region = RegionName::new("far");
    let instance = ListedInstance {
        id: InstanceId::new("i1", 1),
        region: region.clone(),
        domain: DomainName::new("far-a"),
        peer_address: "10.0.0.1:1".parse().unwrap(),
        caller_address: "10.0.0.1:2".parse().unwrap(),
    };
    let mut list = InstanceList::default();
    list.apply_listing(at(0), 1, vec![instance.clone()]);
    let avoid = [instance.id.name.clone()];
    assert!(
        list.forward_target_in(at(0), &region, &"a".into(), &avoid)
            .is_none()
    );
    assert!(list.has_reachable_instance(at(0), &region));
    list.mark_unreachable(at(0), &instance.id.name);
    assert!(!list.has_reachable_instance(at(0), &region));
}

/// Guards against shared prompts that are read again on each server.
#[test]
fn pick_shared_prefix_goes_to_one_server() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a"), ("s3", "home-b")]);
    let mut chosen: Set<BackendName> = Set::default();
    for _ in 0..6 {
        let work = work(42, 4_000, 500);
        let pick = table.pick(at(5), &asker.request(&work)).unwrap();
        table.record_sent(at(5), &pick, work.shared_prefix_hash());
        table.record_first_byte(&pick, Some(Duration::from_millis(80)));
        chosen.insert(pick.id);
    }
    assert_eq!(chosen.len(), 1);
}

/// Servers with addresses of their own: two at home, two in `far` and three in `wide`.
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
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &entries));
    table.configure(&Asker::default().configuration);
    table
}

/// Guards against the engine that looks best at one count getting all requests until the next:
/// 22 instances before 46 engines, each sending 14 requests on the same counts, as at the peak of
/// the largest region. No engine may get over twice its even share.
#[test]
fn pick_peak_of_a_large_region_spreads_between_counts() {
    let entries: Vec<_> = (0..46)
        .map(|n| BackendEntry {
            slots: 24,
            ..server(&format!("s{n}"), "home-a")
        })
        .collect();
    let members: Vec<_> = (0..22)
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
    for (index, instance) in members.iter().enumerate() {
        let asker = Asker {
            instance: instance.clone(),
            members: members.clone(),
            ..Asker::default()
        };
        let mut table = ServerTable::default();
        table.apply_listing(at(0), at(0), &listing(1, &entries));
        table.configure(&asker.configuration);
        table.apply_peer_usage(at(0), 21, &rows);
        for n in 0..14 {
            let work = work(index as u64 * 100 + n, 300, 2_000);
            let pick = table.pick(at(10 * n), &asker.request(&work)).unwrap();
            table.record_sent(at(10 * n), &pick, work.shared_prefix_hash());
            *sent.entry(pick.id).or_default() += 1;
        }
    }
    let even = 22.0 * 14.0 / 46.0;
    let most = sent.values().copied().max().unwrap_or(0);
    assert!(f64::from(most) <= 2.0 * even, "{most} of {even:.1}");
}

/// Guards against an instance that is cut off from the others and floods servers that they fill.
#[test]
fn requests_lone_instance_relies_on_reports_for_longer() {
    let reported = ReportedLoad {
        running: 24,
        waiting: 10,
        slots: 24,
    };
    let mut load = ServerLoad::default();
    load.apply_peer_usage(at(0), 2, 5, 0);
    load.record_load_report(at(0), reported);
    assert_eq!(load.requests(at(300)), 34);
    assert_eq!(load.requests(at(500)), 5, "the others' counts are newer");
    load.record_load_report(at(3_000), reported);
    assert_eq!(load.requests(at(4_000)), 34, "no counts for three seconds");
    assert_eq!(load.requests(at(5_000)), 0);
}

/// Guards against requests that are refused because their sample of a large region is empty.
#[test]
fn pick_without_a_preferred_engine_always_finds_one() {
    let asker = Asker {
        members: (0..22)
            .map(|n| InstanceName::new(&format!("i{n}")))
            .collect(),
        ..Asker::default()
    };
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a"), ("s3", "home-b")]);
    let alone = Work {
        parts: Vec::new(),
        ..work(1, 0, 500)
    };
    for n in 0..200 {
        assert!(table.pick(at(n), &asker.request(&alone)).is_some(), "{n}");
    }
}

/// Guards against shared parts that are read again although another engine holds them.
#[test]
fn pick_shared_parts_are_copied_from_where_they_are_preferred() {
    let (asker, work) = (Asker::default(), work(42, 4_000, 500));
    let mut table = table_of_three_regions("llm");
    let first = table.pick(at(5), &asker.request(&work)).unwrap();
    let wide = ["10.0.0.4:80", "10.0.0.5:80", "10.0.0.6:80"];
    let source = first.copy_from.unwrap().to_string();
    assert!(wide.contains(&source.as_str()), "{source}");
    for _ in 0..100 {
        table.record_sent(at(5), &first, None);
    }
    let second = table.pick(at(5), &asker.request(&work)).unwrap();
    assert_ne!(second.id, first.id, "the preferred one is full");
    assert_eq!(second.copy_from, Some(first.address));
}

/// Guards against prompts that are stored outside their homes, and against servers that are told to
/// copy what they cannot hold.
#[test]
fn pick_copies_come_from_homes_and_engines_only() {
    let mut asker = Asker::default();
    let shared = work(42, 4_000, 500);
    asker.storing = regions(&["home", "far"]);
    let mut table = table_of_three_regions("llm");
    let pick = table.pick(at(5), &asker.request(&shared)).unwrap();
    let source = pick.copy_from.unwrap().to_string();
    assert!(["10.0.0.2:80", "10.0.0.3:80"].contains(&source.as_str()));
    asker.storing = regions(&["home"]);
    let pick = table.pick(at(5), &asker.request(&shared)).unwrap();
    assert_eq!(pick.copy_from, None, "no other home");
    let alone = Work {
        parts: Vec::new(),
        ..work(42, 0, 500)
    };
    let pick = table.pick(at(5), &asker.request(&alone)).unwrap();
    assert_eq!(pick.copy_from, None, "nothing is shared");
    asker.storing = regions(&["home", "far"]);
    asker.service = ServiceName::new("app");
    let mut table = table_of_three_regions("app");
    let pick = table.pick(at(5), &asker.request(&shared)).unwrap();
    assert_eq!(pick.copy_from, None, "a plain service");
}

/// Guards against a prefix that keeps all requests on a server that is full.
#[test]
fn pick_shared_prefix_yields_to_load() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a")]);
    let mut chosen: Set<BackendName> = Set::default();
    for _ in 0..12 {
        let work = work(42, 4_000, 2_000);
        let pick = table.pick(at(5), &asker.request(&work)).unwrap();
        table.record_sent(at(5), &pick, work.shared_prefix_hash());
        chosen.insert(pick.id);
    }
    assert_eq!(chosen.len(), 2);
}

/// Guards against engines that a restarted process takes for plain services, because it read the
/// list of servers before the configuration.
#[test]
fn configure_after_the_list_tells_engines_apart() {
    let asker = Asker::default();
    let work = work(1, 0, 9_500);
    let known = table(&[("s1", "home-a")]).pick(at(0), &asker.request(&work));
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &[server("s1", "home-a")]));
    table.configure(&asker.configuration);
    let pick = table.pick(at(0), &asker.request(&work));
    assert_eq!(
        pick.map(|pick| pick.expected_latency),
        known.map(|pick| pick.expected_latency)
    );
}

/// Guards against a server that fails with good health taking its full part.
#[test]
fn pick_failing_server_is_passed_over() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a"), ("s2", "home-a")]);
    let failing = BackendName::new("s1");
    for _ in 0..5 {
        table.record_failure(
            at(5),
            &failing,
            ServerFailure::BadResponse,
            &asker.configuration,
        );
    }
    for prefix in 0..10 {
        let work = work(prefix, 1_000, 500);
        let pick = table.pick(at(6), &asker.request(&work)).unwrap();
        assert_eq!(pick.id.as_str(), "s2");
    }
}

/// Guards against one lost answer that takes the only server of a region out of use.
#[test]
fn pick_lost_answer_keeps_the_only_server() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    let id = BackendName::new("s1");
    table.record_failure(at(5), &id, ServerFailure::BadResponse, &asker.configuration);
    let work = work(1, 100, 100);
    assert!(table.pick(at(6), &asker.request(&work)).is_some());
    table.record_failure(at(7), &id, ServerFailure::Unreachable, &asker.configuration);
    assert!(table.pick(at(8), &asker.request(&work)).is_none());
}

/// Guards against the instances of a region together sending a cold server more than it bears.
#[test]
fn pick_cold_server_gets_its_bound_over_all_instances() {
    let members: Vec<InstanceName> = (0..4)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let mut cold = server("s1", "home-a");
    cold.cold_remaining = Duration::from_secs(3);
    let mut fleet: Vec<(Asker, ServerTable)> = members
        .iter()
        .map(|name| {
            let asker = Asker {
                instance: name.clone(),
                members: members.clone(),
                ..Asker::default()
            };
            let mut table = ServerTable::default();
            let entries = listing(1, std::slice::from_ref(&cold));
            table.apply_listing(at(0), at(0), &entries);
            table.configure(&asker.configuration);
            (asker, table)
        })
        .collect();
    let work = work(1, 100, 100);
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..2_800).step_by(10) {
        for (asker, table) in &mut fleet {
            if let Some(pick) = table.pick(at(ms), &asker.request(&work)) {
                table.record_sent(at(ms), &pick, None);
                sent.push(ms);
            }
        }
    }
    // The deployments' bound: 1.5 times the rate and 3 more in each second.
    let bound = (4.6_f64 * 1.5 + 3.0) as usize;
    for start in &sent {
        let second = sent
            .iter()
            .filter(|ms| (*start..start + 1_000).contains(ms));
        assert!(second.count() <= bound);
    }
    assert!(sent.len() >= 6, "{}", sent.len());
}

/// Guards against a leaving server that gets new work because a later list forgot its state.
#[test]
fn take_listing_leaving_server_stays_leaving() {
    let asker = Asker::default();
    let mut table = table(&[("s1", "home-a")]);
    let mut leaving = server("s1", "home-a");
    leaving.leaving = true;
    table.apply_listing(at(10), at(10), &listing(2, &[leaving]));
    table.apply_listing(at(20), at(20), &listing(3, &[server("s1", "home-a")]));
    assert!(
        table
            .pick(at(21), &asker.request(&work(1, 0, 10)))
            .is_none()
    );
    let mut restarted = server("s1", "home-a");
    restarted.started_ms = 2;
    table.apply_listing(at(30), at(30), &listing(4, &[restarted]));
    assert!(
        table
            .pick(at(31), &asker.request(&work(1, 0, 10)))
            .is_some()
    );
}

/// Guards against servers being dropped because their entries lapsed while the store was away,
/// and against those that are gone being kept or told to others.
#[test]
fn take_listing_after_the_store_was_away_holds_missing_servers() {
    let asker = Asker::default();
    let request = work(1, 0, 10);
    let mut table = table(&[("s1", "home-a")]);
    table.apply_listing(at(8_000), at(8_000), &listing(2, &[]));
    assert!(table.pick(at(8_001), &asker.request(&request)).is_some());
    assert!(table.listing(at(8_001)).servers.is_empty());
    // The list does not change any more, so it is confirmed but not sent again.
    table.confirm(at(9_300));
    assert!(table.pick(at(10_301), &asker.request(&request)).is_some());
    assert!(table.pick(at(10_501), &asker.request(&request)).is_none());
    table.apply_listing(at(10_600), at(10_600), &listing(3, &[]));
    assert!(table.is_empty());
}

/// Guards against an older list that replaces a newer one.
#[test]
fn take_listing_older_revision_is_ignored() {
    let mut table = ServerTable::default();
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    table.apply_listing(at(0), at(0), &listing(9, &entries));
    table.apply_listing(at(5), at(5), &listing(8, &entries[..1]));
    assert_eq!(table.len(), 2);
}
