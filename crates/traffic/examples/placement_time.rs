//! Measures the time of a decision for one request at 100 servers.
//!
//! Prints the mean time of [`place`] in microseconds, and the median and the largest of the means over
//! a hundred decisions, with and without stated paces, in a region of one instance, in which all servers
//! are considered, and of 20, in which they are sampled. Run with
//! `cargo run --release --locked -p hawthornquay-traffic --example placement_time`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use hawthornquay_decisions::{
    BackendName, DomainName, InstanceName, Map, MonotonicTime, RegionName, ServiceName,
};
use hawthornquay_traffic::{
    BackendEntry, Configuration, EngineConfig, PlacementOptions, PlacementRequest, PromptPart,
    RegionTable, ReportedLoad, ServerListing, ServerTable, ServiceConfig, StoreRevision,
    UnknownServer, Work, place,
};

const SERVERS: usize = 100;
const ROUNDS: usize = 500;
const DECISIONS_PER_ROUND: u64 = 100;
const SLOTS: u32 = 64;

fn main() {
    println!("instances paces mean_us median_us max_us");
    for instances in [1, 20] {
        for states_pace in [false, true] {
            let mut round_us = measure(instances, states_pace);
            round_us.sort_unstable_by(f64::total_cmp);
            let mean = round_us.iter().sum::<f64>() / round_us.len() as f64;
            let median = round_us[round_us.len() / 2];
            let max = round_us[round_us.len() - 1];
            println!("{instances} {states_pace} {mean:.2} {median:.2} {max:.2}");
        }
    }
}

/// Returns the mean time of a decision in each round, in microseconds.
fn measure(instances: usize, states_pace: bool) -> Vec<f64> {
    let configuration = configuration();
    let service = ServiceName::new("llm");
    let mut table = loaded_table(&configuration, states_pace);
    let names: Vec<_> = (0..instances)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let home = RegionName::new("home");
    let domain_regions: Map<_, _> = [(DomainName::new("home-a"), home.clone())]
        .into_iter()
        .collect();
    let regions = RegionTable::default();
    let options = PlacementOptions {
        local_region: &home,
        allowed_regions: std::slice::from_ref(&home),
        may_forward: true,
        region_round_trip: Duration::from_millis(110),
        forward_margin: Duration::from_millis(40),
    };
    let mut round_us = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for n in 0..DECISIONS_PER_ROUND {
            let work = Work {
                prompt_tokens: 11_992,
                output_tokens: 378,
                parts: [(n % 16, 5_382), (1_000 + n, 6_610)]
                    .map(|(id, tokens)| PromptPart { id, tokens })
                    .to_vec(),
            };
            let req = PlacementRequest {
                configuration: &configuration,
                service: &service,
                work: &work,
                target_latency: Duration::from_millis(2_500),
                target_event_gap: Some(Duration::from_millis(600)),
                route_priority: 2,
                time_left: Duration::from_secs(12),
                excluded_servers: &[],
                instance: &names[0],
                region_instances: &names,
                is_region_settled: true,
                may_ask_permits: true,
                may_grant_permits: true,
                is_local: &|domain| domain.as_str().starts_with("home"),
                domain_regions: &domain_regions,
                storage_regions: std::slice::from_ref(&home),
                reserved_latency: Duration::ZERO,
                is_returning: false,
            };
            black_box(place(at(3_000), &req, &options, &mut table, &regions));
        }
        let took = start.elapsed().as_secs_f64() * 1e6;
        round_us.push(took / DECISIONS_PER_ROUND as f64);
    }
    round_us
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + ms)
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let service = ServiceConfig {
        max_connections: 100,
        cold_duration: Duration::from_secs(3),
        cold_requests_per_s: 4.6,
        health_path: None,
        engine: Some(EngineConfig {
            slots: SLOTS,
            kv_capacity_tokens: 600_000,
        }),
    };
    configuration
        .services
        .insert(ServiceName::new("llm"), service);
    configuration
}

/// Returns a table of servers with load, whose streams are known and which state their paces if
/// `states_pace`.
fn loaded_table(configuration: &Configuration, states_pace: bool) -> ServerTable {
    let entries: Vec<_> = (0..SERVERS)
        .map(|n| BackendEntry {
            id: BackendName::new(&format!("s{n}")),
            service: ServiceName::new("llm"),
            address: "10.0.0.1:80".parse().expect("valid address"),
            domain: DomainName::new("home-a"),
            slots: SLOTS,
            leaving: false,
            cold_remaining: Duration::ZERO,
            started_ms: 1,
        })
        .collect();
    let mut table = ServerTable::default();
    let started_at = MonotonicTime::from_millis(90_000);
    let listing = ServerListing {
        revision: StoreRevision::new(0, 1),
        servers: entries.clone(),
    };
    table.apply_listing(started_at, started_at, &listing);
    table.configure(configuration);
    for (n, entry) in (0u32..).zip(&entries) {
        let asked = UnknownServer {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            started_ms: entry.started_ms,
            is_shared: false,
        };
        table.record_warm(&asked, at(0));
        for event in 1..=42 {
            let interval = Duration::from_millis(50);
            table.record_events(at(event * 50), &entry.id, 1, interval);
        }
        table.record_complete_stream(&entry.id, 42, 378);
        for pace in (0..9).map(|statement| 60 + (n * 37 + statement * 11) % 340) {
            let load = ReportedLoad {
                running: n % SLOTS,
                waiting: 0,
                slots: SLOTS,
                pace: states_pace.then_some(pace),
            };
            table.record_load_report(at(2_900), &entry.id, load);
        }
    }
    table
}
