//! Load of a plain service: a hundred instances before one or two small servers with short queues,
//! in a region whose peak these servers cannot take, while other regions have capacity.

mod common;

use std::{collections::VecDeque, time::Duration};

use common::{RequestContext, at, listing, regions, server};
use hawthornquay_decisions::{BackendName, InstanceName, Map, RegionName, ServiceName};
use hawthornquay_traffic::{
    Admissions, BackendEntry, Offload, PlacementDecision, PlacementOptions, RegionReport,
    RegionTable, ServerPick, ServerTable, ServerUsage, ServiceReport, Work, place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const INSTANCES: usize = 103;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const SERVICE_TIME_MS: u64 = 15;
const STATUS_INTERVAL_MS: u64 = 300;
const TARGET: Duration = Duration::from_millis(300);
/// Time after which the shares have adapted.
const SETTLED_MS: u64 = 2_000;
const END_MS: u64 = 8_000;

struct Instance {
    context: RequestContext,
    servers: ServerTable,
    regions: RegionTable,
    admissions: Admissions,
}

struct PlainServer {
    id: BackendName,
    /// End of each running request, with the instance that sent it.
    running: VecDeque<(u64, usize)>,
    waiting: VecDeque<usize>,
}

#[derive(Debug, Default)]
struct Outcome {
    accepted: u32,
    rejected: u32,
    sent_away: u32,
    refused: u32,
}

/// Plays `per_s` requests a second at the instances of a region with `server_count` servers.
struct Simulation {
    instances: Vec<Instance>,
    servers: Vec<PlainServer>,
    offload: Offload,
    service: ServiceName,
    local_region: RegionName,
    allowed_regions: Vec<RegionName>,
    outcome: Outcome,
}

impl Simulation {
    fn new(server_count: usize) -> Self {
        let service = ServiceName::new("app");
        let names: Vec<_> = (0..INSTANCES)
            .map(|n| InstanceName::new(&format!("i{n}")))
            .collect();
        let entries: Vec<_> = (0..server_count)
            .map(|n| BackendEntry {
                service: service.clone(),
                slots: SLOTS as u32,
                ..server(&format!("s{n}"), "home-a")
            })
            .collect();
        let instance = |name: &InstanceName| {
            let context = RequestContext {
                instance: name.clone(),
                region_instances: names.clone(),
                service: service.clone(),
                time_left: Duration::from_secs(3),
                ..RequestContext::default()
            };
            let mut servers = ServerTable::default();
            servers.apply_listing(at(0), at(0), &listing(1, &entries));
            servers.configure(&context.configuration);
            Instance {
                context,
                servers,
                regions: RegionTable::default(),
                admissions: Admissions::default(),
            }
        };
        Self {
            instances: names.iter().map(instance).collect(),
            servers: entries
                .iter()
                .map(|entry| PlainServer {
                    id: entry.id.clone(),
                    running: VecDeque::new(),
                    waiting: VecDeque::new(),
                })
                .collect(),
            offload: Offload::default(),
            service,
            local_region: RegionName::new("home"),
            allowed_regions: regions(&["far", "home"]),
            outcome: Outcome::default(),
        }
    }

    fn play(mut self, per_s: u64) -> Outcome {
        let mut rng = StdRng::seed_from_u64(per_s);
        for now_ms in 0..END_MS {
            if now_ms % STATUS_INTERVAL_MS == 0 {
                self.report(now_ms);
            }
            self.complete(now_ms);
            let expected = per_s as f64 / 1_000.0;
            let mut arrivals = expected.floor() as u64;
            arrivals += u64::from(rng.random_bool(expected.fract()));
            for _ in 0..arrivals {
                let index = rng.random_range(0..INSTANCES);
                self.arrive(now_ms, index);
            }
            if now_ms == SETTLED_MS {
                self.outcome = Outcome::default();
            }
        }
        self.outcome
    }

    /// Sends each instance the use of the servers by the others, and the reports of both regions.
    fn report(&mut self, now_ms: u64) {
        let mut sums: Map<BackendName, u32> = Map::default();
        let mut admissions = Admissions::default();
        for instance in &mut self.instances {
            for row in instance.servers.own_usage() {
                *sums.entry(row.id).or_default() += row.requests;
            }
            admissions.add(std::mem::take(&mut instance.admissions));
        }
        let admissions = [(self.service.clone(), admissions)].into_iter().collect();
        self.offload.update(&admissions);
        let report = |offload: f64| RegionReport {
            demands: Map::default(),
            services: [(
                self.service.clone(),
                ServiceReport {
                    servers: 2,
                    free_slots: 12,
                    expected_latency: Duration::from_millis(20),
                    offload_permille: (offload * 1_000.0) as u32,
                    event_interval: Duration::ZERO,
                },
            )]
            .into_iter()
            .collect(),
        };
        let home = report(self.offload.share(&self.service));
        let peers = INSTANCES as u32 - 1;
        for instance in &mut self.instances {
            let own: Map<_, _> = instance
                .servers
                .own_usage()
                .into_iter()
                .map(|row| (row.id, row.requests))
                .collect();
            let rows: Vec<_> = sums
                .iter()
                .map(|(id, requests)| ServerUsage {
                    id: id.clone(),
                    requests: requests - own.get(id).copied().unwrap_or(0),
                    pending_tokens: 0,
                })
                .collect();
            instance.servers.apply_peer_usage(at(now_ms), peers, &rows);
            for (name, report) in [("home", home.clone()), ("far", report(0.0))] {
                let name = RegionName::new(name);
                instance.regions.apply_report(&name, at(now_ms), report);
            }
        }
    }

    fn complete(&mut self, now_ms: u64) {
        for server in &mut self.servers {
            while server
                .running
                .front()
                .is_some_and(|(end, _)| *end <= now_ms)
            {
                let (_, index) = server.running.pop_front().unwrap();
                self.instances[index].servers.record_end(&server.id, None);
                if let Some(next) = server.waiting.pop_front() {
                    server.running.push_back((now_ms + SERVICE_TIME_MS, next));
                }
            }
        }
    }

    fn arrive(&mut self, now_ms: u64, index: usize) {
        let instance = &mut self.instances[index];
        let work = Work::default();
        let mut req = instance.context.request(&work);
        req.target_latency = TARGET;
        let options = PlacementOptions {
            local_region: &self.local_region,
            allowed_regions: &self.allowed_regions,
            may_forward: true,
            region_round_trip: Duration::from_millis(116),
            forward_margin: Duration::from_millis(40),
        };
        let now = at(now_ms);
        let placed = place(
            now,
            &req,
            &options,
            &mut instance.servers,
            &instance.regions,
        );
        match placed {
            PlacementDecision::Server(pick) => self.send(now_ms, index, &pick),
            PlacementDecision::Region { .. } => self.outcome.sent_away += 1,
            PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => {
                self.outcome.refused += 1;
            }
        }
    }

    fn send(&mut self, now_ms: u64, index: usize, pick: &ServerPick) {
        let instance = &mut self.instances[index];
        let server = self.servers.iter_mut().find(|one| one.id == pick.id);
        let server = server.unwrap();
        let accepted = server.waiting.len() < QUEUE;
        instance.admissions.add(Admissions {
            accepted: u32::from(accepted),
            rejected: u32::from(!accepted),
        });
        if !accepted {
            self.outcome.rejected += 1;
            return;
        }
        self.outcome.accepted += 1;
        instance.servers.record_sent(at(now_ms), pick, None);
        if server.running.len() < SLOTS {
            server.running.push_back((now_ms + SERVICE_TIME_MS, index));
        } else {
            server.waiting.push_back(index);
        }
    }
}

/// Guards against a peak at which half of the requests are rejected by the region's only server,
/// while other regions have capacity: the counts are older than the time in which its queue fills.
#[test]
fn place_peak_of_one_small_server_sends_excess_away() {
    let outcome = Simulation::new(1).play(730);
    let requests = outcome.accepted + outcome.rejected + outcome.sent_away + outcome.refused;
    assert!(outcome.rejected * 100 < requests * 8, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
    // The server can run 400 of the 730 requests of a second.
    assert!(outcome.accepted * 100 > requests * 40, "{outcome:?}");
}

/// Guards against all instances choosing the server that had fewer requests at the last counts.
#[test]
fn pick_of_two_small_servers_uses_both() {
    let outcome = Simulation::new(2).play(600);
    let requests = outcome.accepted + outcome.rejected + outcome.sent_away + outcome.refused;
    assert!(outcome.rejected * 100 < requests, "{outcome:?}");
    assert!(outcome.accepted * 100 > requests * 90, "{outcome:?}");
}

/// Guards against requests that leave a region without need.
#[test]
fn place_usual_load_of_small_servers_stays_local() {
    let outcome = Simulation::new(2).play(200);
    assert_eq!(outcome.rejected, 0, "{outcome:?}");
    assert_eq!(outcome.sent_away, 0, "{outcome:?}");
}

/// Guards against a share that stays after the overload has ended, or never admits a request.
#[test]
fn offload_follows_rejections_and_recovers() {
    let service = ServiceName::new("app");
    let step = |accepted, rejected| {
        let admissions = Admissions { accepted, rejected };
        [(service.clone(), admissions)].into_iter().collect()
    };
    let mut offload = Offload::default();
    offload.update(&step(100, 1));
    assert_eq!(offload.share(&service), 0.0);
    for _ in 0..50 {
        offload.update(&step(10, 200));
    }
    assert!((0.8..0.95).contains(&offload.share(&service)));
    for _ in 0..31 {
        offload.update(&Map::default());
    }
    assert_eq!(offload.share(&service), 0.0);
}
