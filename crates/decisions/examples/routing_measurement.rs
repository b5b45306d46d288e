//! Compares the gateway's routing to simpler strategies, by simulation of batching engines.
//!
//! Prints, for two deployments and two load shapes, the p95 time to the first token over all calls,
//! over interactive calls and for the organisation with the highest p95, the shares of calls sent
//! to another region and to another domain, the bytes between regions, and the refusals. Also
//! prints the time of one routing decision.

use std::{
    collections::{BTreeMap, VecDeque},
    hint::black_box,
    time::{Duration, Instant},
};

use hawthornquay_decisions::{
    BackendKind, BackendServer, Bundle, DomainName, FailureDomain, FairQueue, InstanceId, LoadKey,
    LoadOutcome, LoadReport, LoadTicket, LoadView, MonotonicTime, PrefixEvent, PrefixEventKind,
    PrefixEvents, PrefixHash, PrefixMap, Priority, QueueEntry, Residency, RouteTarget,
    RoutingDecision, RoutingGrant, RoutingGrantor, RoutingGrants, RoutingHop, RoutingLocation,
    RoutingRequest, RoutingSnapshot, RoutingWeights, decide_route,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

#[path = "routing_measurement/gateway.rs"]
mod gateway;
#[path = "routing_measurement/model.rs"]
mod model;

const REGIONS: usize = 3;
const DOMAINS_PER_REGION: usize = 2;
const DOMAINS: usize = REGIONS * DOMAINS_PER_REGION;
const INSTANCES_PER_REGION: usize = 3;
const SLOTS_PER_ENGINE: usize = 8;
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
const DECODE_S: f64 = 0.02;
/// Requests that an engine completes per second when all of its slots are in use.
const ENGINE_REQUESTS_PER_S: f64 = 2.3;
/// One-way latency between regions.
const OTHER_REGION_LATENCY_S: f64 = 0.055;
/// One-way latency between caller and instance, and between instance and engine in a region.
const LOCAL_LATENCY_S: f64 = 0.002;
/// One-way latency between instances in two domains of a region.
const OTHER_DOMAIN_LATENCY_S: f64 = 0.004;
const REPORT_INTERVAL_S: f64 = 0.25;
/// Time from the sampling of a load report to its delivery.
const REPORT_LAG_S: f64 = 1.0;
const QUEUE_INTERVAL_S: f64 = 0.02;
const GRANT_INTERVAL_S: f64 = 1.0;
/// Number of grants that an instance keeps available for each domain of another region.
const WANTED_GRANTS: u32 = 16;
/// Time after which a call in a queue is refused.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(10);
const DURATION_S: f64 = 360.0;
const SEED_COUNT: u64 = 3;
const ORGANISATION_SHARES: [f64; 5] = [0.5, 0.25, 0.12, 0.08, 0.05];
const DOCUMENTS_PER_ORGANISATION: u64 = 12;
const DOCUMENT_BLOCKS: u64 = 48;
/// Capacity of the prefix cache of an engine, in documents.
const CACHED_DOCUMENTS: usize = 16;
const EVENT_LOSS_PROBABILITY: f64 = 0.001;
/// Organisations whose residency allows only their home region; they send 17% of the requests.
const HOME_ONLY_ORGANISATIONS: [usize; 2] = [2, 4];
const BATCH_SHARE: f64 = 0.2;
const BYTES_PER_PROMPT_TOKEN: u64 = 4;
const BYTES_PER_OUTPUT_TOKEN: u64 = 120;

/// Choice of the engine for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Routing decisions of the gateway.
    Gateway,
    /// Random engine of the fleet.
    RandomFleet,
    /// Random engine of the home region.
    RandomHome,
    /// Engine of the fleet with the fewest calls outstanding at the instance.
    LeastFleet,
    /// Engine of the home region with the fewest calls outstanding at the instance.
    LeastHome,
}

/// Load of the regions over time.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// Constant and unequal.
    Skewed,
    /// Sine waves with a phase offset between the regions.
    Offset,
}

impl Shape {
    /// Returns the load of a region at time `at` in seconds, as a share of its capacity.
    fn load(self, region: usize, at: f64) -> f64 {
        match self {
            Self::Skewed => [1.3, 0.45, 0.3][region],
            Self::Offset => {
                let phase = at / 120.0 + region as f64 / REGIONS as f64;
                0.68 + 0.57 * (phase * std::f64::consts::TAU).sin()
            }
        }
    }
}

/// Request of a caller; indices refer to the vectors of [`Model`].
#[derive(Clone, Debug)]
struct Call {
    organisation: usize,
    home: usize,
    is_home_only: bool,
    priority: Priority,
    document: Option<u64>,
    prompt_tokens: u64,
    output_tokens: u64,
    started_at: f64,
    hop: RoutingHop,
    engine: usize,
    tickets: Vec<(usize, LoadTicket)>,
}

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Arrive {
        region: usize,
    },
    ReachedInstance {
        call: usize,
        instance: usize,
    },
    ReachedEngine {
        call: usize,
    },
    EngineFinished {
        call: usize,
    },
    CallEnded {
        call: usize,
    },
    SendReports,
    ServeQueues,
    RequestGrants,
    Granted {
        instance: usize,
        grant: RoutingGrant,
        requested_at: f64,
    },
}

/// Simulated engine.
#[derive(Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<usize>,
    prefill_free_at: f64,
    documents: VecDeque<u64>,
    sequence: u64,
    events: Vec<PrefixEvent>,
    /// Reports that have not been delivered yet.
    samples: VecDeque<(LoadReport, PrefixEvents)>,
}

impl Engine {
    /// Records one cache event for each prefix of a document.
    fn log(&mut self, kind: PrefixEventKind, document: u64) {
        for prefix in prefixes(document) {
            self.sequence += 1;
            self.events.push(PrefixEvent {
                sequence: self.sequence,
                kind,
                prefix,
            });
        }
    }

    /// Marks a document as most recently used; returns whether it was cached.
    fn use_document(&mut self, document: u64) -> bool {
        let index = self.documents.iter().position(|cached| *cached == document);
        if let Some(index) = index {
            self.documents.remove(index);
        } else {
            self.log(PrefixEventKind::Stored, document);
        }
        self.documents.push_back(document);
        if self.documents.len() > CACHED_DOCUMENTS
            && let Some(evicted) = self.documents.pop_front()
        {
            self.log(PrefixEventKind::Evicted, evicted);
        }
        index.is_some()
    }
}

/// Simulated instance.
struct Instance {
    location: RoutingLocation,
    view: LoadView,
    prefixes: PrefixMap,
    grants: RoutingGrants,
    queue: FairQueue<usize>,
    /// Number of outstanding calls by engine, for the baseline strategies.
    outstanding: Vec<usize>,
    /// Moving average of the calls served from the queue per second.
    served_per_s: f64,
}

/// Times to the first token in seconds, and counts, over one or more runs.
#[derive(Default)]
struct Totals {
    by_organisation: [Vec<f64>; ORGANISATION_SHARES.len()],
    interactive: Vec<f64>,
    refused: usize,
    other_region_calls: u64,
    other_domain_calls: u64,
    link_bytes: u64,
}

impl Totals {
    fn merge(&mut self, other: Self) {
        for (values, other_values) in self.by_organisation.iter_mut().zip(other.by_organisation) {
            values.extend(other_values);
        }
        self.interactive.extend(other.interactive);
        self.refused += other.refused;
        self.other_region_calls += other.other_region_calls;
        self.other_domain_calls += other.other_domain_calls;
        self.link_bytes += other.link_bytes;
    }
}

/// State of one simulation.
struct Model {
    strategy: Strategy,
    shape: Shape,
    bundle: Bundle,
    engines_per_region: usize,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    grantors: Vec<RoutingGrantor>,
    calls: Vec<Call>,
    events: BTreeMap<(u64, u64), Event>,
    event_number: u64,
    now: f64,
    rng: StdRng,
    totals: Totals,
}

fn target() -> RouteTarget {
    RouteTarget::Model("m".into())
}

/// Returns the domain index of the engine or instance `index`, with `per_region` in each region.
fn domain_of(index: usize, per_region: usize) -> usize {
    index / per_region * DOMAINS_PER_REGION + index % per_region % DOMAINS_PER_REGION
}

fn view(domain: usize) -> LoadView {
    let mut view = LoadView::default();
    view.set_instance_count(instances_of(domain).len());
    view
}

fn instances_of(domain: usize) -> Vec<usize> {
    (0..REGIONS * INSTANCES_PER_REGION)
        .filter(|instance| domain_of(*instance, INSTANCES_PER_REGION) == domain)
        .collect()
}

fn domain(index: usize) -> DomainName {
    format!("d{index}").as_str().into()
}

fn index_from_name(name: &str) -> usize {
    name[1..].parse().expect("name is a letter and a number")
}

fn prefixes(document: u64) -> Vec<PrefixHash> {
    (0..DOCUMENT_BLOCKS)
        .map(|block| PrefixHash(document * DOCUMENT_BLOCKS + block))
        .collect()
}

fn monotonic_time(seconds: f64) -> MonotonicTime {
    MonotonicTime((seconds * 1e6) as u64)
}

fn bundle(engines_per_region: usize, routing: RoutingWeights) -> Bundle {
    let mut bundle = Bundle {
        routing,
        ..Bundle::default()
    };
    for index in 0..DOMAINS {
        let region = index / DOMAINS_PER_REGION;
        let failure_domain = FailureDomain {
            name: domain(index),
            region: format!("r{region}").as_str().into(),
            limit_weight: 1,
        };
        bundle.domains.insert(domain(index), failure_domain);
    }
    for engine in 0..REGIONS * engines_per_region {
        let name = format!("e{engine}");
        let server = BackendServer {
            name: name.as_str().into(),
            address: ([127, 0, 0, 1], 9).into(),
            domain: domain(domain_of(engine, engines_per_region)),
            kind: BackendKind::ModelEngine {
                models: vec!["m".into()],
            },
            checks_fencing: true,
        };
        bundle.backends.insert(name.as_str().into(), server);
    }
    bundle
}

fn p95(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get(sorted.len() * 95 / 100)
        .copied()
        .unwrap_or(f64::NAN)
}

fn main() {
    print_decision_cost();
    let weights = |margin_ms, path_ms| RoutingWeights {
        send_away_margin: Duration::from_millis(margin_ms),
        path_cost: Duration::from_millis(path_ms),
    };
    let deployments = [
        ("12 engines, latency", 4, weights(100, 110)),
        ("9 engines, few sends", 3, weights(1_500, 110)),
    ];
    let strategies = [
        Strategy::Gateway,
        Strategy::RandomFleet,
        Strategy::LeastFleet,
        Strategy::RandomHome,
        Strategy::LeastHome,
    ];
    println!(
        "{:<22}{:<8}{:<13}{:>9}{:>9}{:>10}{:>8}{:>10}{:>10}{:>9}{:>9}",
        "deployment",
        "load",
        "strategy",
        "p95 s",
        "inter. s",
        "worst org",
        "away %",
        "domain %",
        "far calls",
        "link MB",
        "refused"
    );
    for (name, engines, weights) in deployments {
        for shape in [Shape::Skewed, Shape::Offset] {
            for strategy in strategies {
                let mut totals = Totals::default();
                for seed in 0..SEED_COUNT {
                    let bundle = bundle(engines, weights);
                    totals.merge(Model::new(strategy, shape, bundle, seed).run());
                }
                print_totals(name, shape, strategy, &totals);
            }
        }
    }
}

/// Prints the time of one decision at an instance whose domain has a sixth of the target fleet.
fn print_decision_cost() {
    const DECISIONS: u32 = 5_000;
    let bundle = bundle(760 / REGIONS, RoutingWeights::default());
    let mut model = Model::new(Strategy::Gateway, Shape::Skewed, bundle, 0);
    for _ in 0..10 {
        model.send_reports();
    }
    model.arrive(0);
    let start = Instant::now();
    for _ in 0..DECISIONS {
        black_box(model.decide(0, 0, Duration::ZERO));
    }
    let decision_time = start.elapsed() / DECISIONS;
    println!("one decision among 760 engines, 127 of them in the own domain: {decision_time:?}");
}

fn print_totals(name: &str, shape: Shape, strategy: Strategy, totals: &Totals) {
    let all = totals.by_organisation.concat();
    let worst = totals
        .by_organisation
        .iter()
        .map(|values| p95(values))
        .fold(0.0, f64::max);
    println!(
        "{:<22}{:<8}{:<13}{:>9.2}{:>9.2}{:>10.2}{:>8.1}{:>10.1}{:>10}{:>9.1}{:>9}",
        name,
        format!("{shape:?}"),
        format!("{strategy:?}"),
        p95(&all),
        p95(&totals.interactive),
        worst,
        totals.other_region_calls as f64 / all.len() as f64 * 100.0,
        totals.other_domain_calls as f64 / all.len() as f64 * 100.0,
        totals.other_region_calls,
        totals.link_bytes as f64 / 1e6,
        totals.refused,
    );
}
