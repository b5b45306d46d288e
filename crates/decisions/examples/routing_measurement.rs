//! Measures routing on a timing model of batching engines.
//!
//! Prints, for two deployments and two shapes of load, the p95 time to the first token, the share
//! sent to another region, the cost of that, and the p95 of the worst-served organisation.

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
const SLOTS: usize = 8;
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
const DECODE_SECONDS: f64 = 0.02;
/// Requests that one engine completes in a second when its slots are always taken.
const ENGINE_RATE: f64 = 2.3;
const FAR_PATH: f64 = 0.055;
const NEAR_PATH: f64 = 0.002;
const DOMAIN_PATH: f64 = 0.004;
const REPORT_EVERY: f64 = 0.25;
const REPORT_LAG: f64 = 1.0;
const QUEUE_TICK: f64 = 0.02;
const GRANT_EVERY: f64 = 1.0;
const GRANT_WANTED: u32 = 16;
const LONGEST_WAIT: Duration = Duration::from_secs(10);
const DURATION: f64 = 360.0;
const SEEDS: u64 = 3;
const ORGANISATION_SHARES: [f64; 5] = [0.5, 0.25, 0.12, 0.08, 0.05];
const DOCUMENTS_PER_ORGANISATION: u64 = 12;
const DOCUMENT_BLOCKS: u64 = 48;
const CACHED_DOCUMENTS: usize = 16;
const LOST_EVENTS: f64 = 0.001;
/// Organisations whose residency allows their home region only; they send 17% of the requests.
const HOME_BOUND: [usize; 2] = [2, 4];
const BATCH: f64 = 0.2;
const BYTES_PER_PROMPT_TOKEN: u64 = 4;
const BYTES_PER_OUTPUT_TOKEN: u64 = 120;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    Gateway,
    RandomFleet,
    RandomHome,
    LeastFleet,
    LeastHome,
}

#[derive(Clone, Copy, Debug)]
enum Shape {
    Skewed,
    Offset,
}

impl Shape {
    /// Returns the load of a region as a share of its capacity.
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

#[derive(Clone, Debug)]
struct Call {
    organisation: usize,
    home: usize,
    home_bound: bool,
    priority: Priority,
    document: Option<u64>,
    prompt_tokens: u64,
    output_tokens: u64,
    began: f64,
    hop: RoutingHop,
    engine: usize,
    tickets: Vec<(usize, LoadTicket)>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        region: usize,
    },
    AtInstance {
        call: usize,
        instance: usize,
    },
    AtEngine {
        call: usize,
    },
    EngineDone {
        call: usize,
    },
    Ended {
        call: usize,
    },
    Reports,
    Queues,
    Grants,
    Granted {
        instance: usize,
        grant: RoutingGrant,
        asked_at: f64,
    },
}

#[derive(Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<usize>,
    prefill_free: f64,
    documents: VecDeque<u64>,
    sequence: u64,
    events: Vec<PrefixEvent>,
    samples: VecDeque<(LoadReport, PrefixEvents)>,
}

impl Engine {
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

    /// Uses a document; returns whether it was cached.
    fn use_document(&mut self, document: u64) -> bool {
        let index = self.documents.iter().position(|known| *known == document);
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

struct Instance {
    place: RoutingLocation,
    view: LoadView,
    prefixes: PrefixMap,
    grants: RoutingGrants,
    queue: FairQueue<usize>,
    outstanding: Vec<usize>,
    served: f64,
}

#[derive(Default)]
struct Totals {
    by_organisation: [Vec<f64>; ORGANISATION_SHARES.len()],
    interactive: Vec<f64>,
    refused: usize,
    far_calls: u64,
    domain_calls: u64,
    link_bytes: u64,
}

impl Totals {
    fn merge(&mut self, other: Self) {
        for (mine, theirs) in self.by_organisation.iter_mut().zip(other.by_organisation) {
            mine.extend(theirs);
        }
        self.interactive.extend(other.interactive);
        self.refused += other.refused;
        self.far_calls += other.far_calls;
        self.domain_calls += other.domain_calls;
        self.link_bytes += other.link_bytes;
    }
}

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

/// Returns the domain of a region's engine or instance, given its index and their number.
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

fn number_in(name: &str) -> usize {
    name[1..].parse().expect("names end in a number")
}

fn prefixes(document: u64) -> Vec<PrefixHash> {
    (0..DOCUMENT_BLOCKS)
        .map(|block| PrefixHash(document * DOCUMENT_BLOCKS + block))
        .collect()
}

fn time(seconds: f64) -> MonotonicTime {
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
                for seed in 0..SEEDS {
                    let bundle = bundle(engines, weights);
                    totals.merge(Model::new(strategy, shape, bundle, seed).run());
                }
                print(name, shape, strategy, &totals);
            }
        }
    }
}

/// Measures one decision of an instance whose domain has a sixth of the target fleet.
fn print_decision_cost() {
    const DECISIONS: u32 = 5_000;
    let bundle = bundle(760 / REGIONS, RoutingWeights::default());
    let mut model = Model::new(Strategy::Gateway, Shape::Skewed, bundle, 0);
    for _ in 0..10 {
        model.reports();
    }
    model.arrive(0);
    let start = Instant::now();
    for _ in 0..DECISIONS {
        black_box(model.decide(0, 0, Duration::ZERO));
    }
    let each = start.elapsed() / DECISIONS;
    println!("one decision among 760 engines, 127 of them in the own domain: {each:?}");
}

fn print(name: &str, shape: Shape, strategy: Strategy, totals: &Totals) {
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
        totals.far_calls as f64 / all.len() as f64 * 100.0,
        totals.domain_calls as f64 / all.len() as f64 * 100.0,
        totals.far_calls,
        totals.link_bytes as f64 / 1e6,
        totals.refused,
    );
}
