//! Regions whose instances ramp up an engine, with their load and its responses.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{RequestContext, at, listing, server, table_of_warm};
use hawthornquay_decisions::{BackendName, InstanceName, Map, MonotonicTime};
use hawthornquay_traffic::{
    BackendEntry, RampOutcome, ReportedLoad, ServerPick, ServerTable, ServerUsage, Work,
};

/// Time at which a further engine is listed.
const LISTED_MS: u64 = 1_500;

const SLOTS: u32 = 24;
const TICK_MS: u64 = 5;
const QUARTER_MS: u64 = 250;
const STATUS_MS: u64 = 300;
/// Time for which a request occupies its slot.
const SLOT_TIME_MS: u64 = 400;
/// Time to the first chunk of a healthy server, somewhat less than the prediction.
const FIRST_CHUNK_MS: u64 = 60;

fn request_work() -> Work {
    Work {
        prompt_tokens: 950,
        output_tokens: 100,
        parts: Vec::new(),
    }
}

fn engine(id: &str) -> BackendEntry {
    BackendEntry {
        slots: SLOTS,
        ..server(id, "home-a")
    }
}

/// Backend server that answers late while it runs more than `fast_up_to` requests.
struct SimulatedServer {
    running: u32,
    fast_up_to: u32,
    late_ms: u64,
}

enum Step {
    FirstChunk(MonotonicTime),
    End,
}

/// Instances of a region with their engines.
struct Region {
    members: Vec<(RequestContext, ServerTable)>,
    servers: Map<BackendName, SimulatedServer>,
    steps: BTreeMap<u64, Vec<(usize, ServerPick, Step)>>,
    entries: Vec<BackendEntry>,
    revision: u64,
    sent: usize,
    due: f64,
    refused: usize,
}

impl Region {
    fn new(instances: usize, warm_servers: usize) -> Self {
        let names: Vec<InstanceName> = (0..instances)
            .map(|n| InstanceName::new(&format!("i{n}")))
            .collect();
        let entries: Vec<BackendEntry> = (0..warm_servers)
            .map(|n| engine(&format!("w{n}")))
            .collect();
        let members = names.iter().map(|name| {
            let context = RequestContext {
                instance: name.clone(),
                region_instances: names.clone(),
                ..RequestContext::default()
            };
            (context, table_of_warm(&entries))
        });
        let mut region = Self {
            members: members.collect(),
            servers: Map::default(),
            steps: BTreeMap::new(),
            entries: Vec::new(),
            revision: 1,
            sent: 0,
            due: 0.0,
            refused: 0,
        };
        for entry in entries {
            region.start(entry, SLOTS);
        }
        region
    }

    fn start(&mut self, entry: BackendEntry, fast_up_to: u32) {
        let simulated = SimulatedServer {
            running: 0,
            fast_up_to,
            late_ms: 300,
        };
        self.servers.insert(entry.id.clone(), simulated);
        self.entries.push(entry);
    }

    /// Lists a further engine at `ms`, which is as fast as predicted up to this number of requests.
    fn list(&mut self, ms: u64, id: &str, fast_up_to: u32) {
        self.start(engine(id), fast_up_to);
        self.revision += 1;
        let list = listing(self.revision, &self.entries);
        for (_, table) in &mut self.members {
            table.apply_listing(at(ms), at(ms), &list);
        }
    }

    /// Returns the mean number of requests at a server while `per_s` requests a second are played, in
    /// each quarter of a second.
    fn mean_running(&mut self, (from_ms, to_ms): (u64, u64), per_s: f64, id: &str) -> Vec<f64> {
        let id = BackendName::new(id);
        let mut sums = vec![0.0; (to_ms - from_ms).div_ceil(QUARTER_MS) as usize];
        self.play((from_ms, to_ms), per_s, |ms, region| {
            let running = f64::from(region.servers[&id].running);
            sums[((ms - from_ms) / QUARTER_MS) as usize] += running;
        });
        let ticks = (QUARTER_MS / TICK_MS) as f64;
        sums.into_iter().map(|sum| sum / ticks).collect()
    }

    /// Returns the number of instances for which a server is in no ramp.
    fn at_full_use(&self, id: &str) -> usize {
        let id = BackendName::new(id);
        let tables = self.members.iter().map(|(_, table)| table);
        tables
            .filter(|table| table.ramp_window(&id).is_none())
            .count()
    }

    fn exchange_status(&mut self, ms: u64) {
        let usages: Vec<Vec<ServerUsage>> = self
            .members
            .iter()
            .map(|(_, table)| table.own_usage())
            .collect();
        for (n, (_, table)) in self.members.iter_mut().enumerate() {
            let mut sums: Map<BackendName, ServerUsage> = Map::default();
            let others = usages.iter().enumerate().filter(|(other, _)| *other != n);
            for usage in others.flat_map(|(_, usage)| usage) {
                let sum = sums.entry(usage.id.clone()).or_insert(ServerUsage {
                    id: usage.id.clone(),
                    requests: 0,
                    pending_tokens: 0,
                });
                sum.requests += usage.requests;
                sum.pending_tokens += usage.pending_tokens;
            }
            let rows: Vec<ServerUsage> = sums.into_values().collect();
            table.apply_peer_usage(at(ms), usages.len() as u32 - 1, &rows);
        }
    }

    fn take_steps(&mut self, ms: u64) {
        for (member, pick, step) in self.steps.remove(&ms).unwrap_or_default() {
            let table = &mut self.members[member].1;
            let simulated = self.servers.get_mut(&pick.id).unwrap();
            match step {
                Step::FirstChunk(sent_at) => {
                    let load = ReportedLoad {
                        running: simulated.running.min(SLOTS),
                        waiting: simulated.running.saturating_sub(SLOTS),
                        slots: SLOTS,
                        pace: None,
                    };
                    let took = at(ms).since(sent_at);
                    table.record_load_report(at(ms), &pick.id, load);
                    table.record_first_byte(&pick, Some(took));
                    let outcome = RampOutcome::FirstChunk(took);
                    table.record_ramp_outcome(at(ms), sent_at, &pick, outcome);
                }
                Step::End => {
                    simulated.running -= 1;
                    let slot_time = Duration::from_millis(SLOT_TIME_MS);
                    table.record_end(&pick.id, Some(slot_time));
                    table.record_success(at(ms), &pick.id);
                }
            }
        }
    }

    fn send(&mut self, ms: u64) {
        let member = self.sent * 7 % self.members.len();
        self.sent += 1;
        let (context, table) = &mut self.members[member];
        let work = request_work();
        let Some(pick) = table.pick(at(ms), &context.request(&work)) else {
            self.refused += 1;
            return;
        };
        table.record_sent(at(ms), &pick, None);
        let simulated = self.servers.get_mut(&pick.id).unwrap();
        simulated.running += 1;
        let first_ms = match simulated.running <= simulated.fast_up_to {
            true => FIRST_CHUNK_MS,
            false => simulated.late_ms,
        };
        let first = (member, pick.clone(), Step::FirstChunk(at(ms)));
        self.steps.entry(ms + first_ms).or_default().push(first);
        let end = (member, pick, Step::End);
        let end_ms = ms + first_ms + SLOT_TIME_MS;
        self.steps.entry(end_ms).or_default().push(end);
    }

    /// Plays `per_s` requests a second from `from_ms` to `to_ms`, and calls `observe` at each tick.
    fn play(
        &mut self,
        (from_ms, to_ms): (u64, u64),
        per_s: f64,
        mut observe: impl FnMut(u64, &Self),
    ) {
        for ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            if ms % STATUS_MS == 0 {
                self.exchange_status(ms);
                for (_, table) in &mut self.members {
                    table.confirm(at(ms));
                }
            }
            self.take_steps(ms);
            self.due += per_s * TICK_MS as f64 / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.send(ms);
            }
            observe(ms, self);
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Lists an engine beside warm ones, and returns its mean load in each quarter of a second after that.
fn load_of_new(
    (instances, warm_servers, per_s): (usize, usize, f64),
    fast_up_to: u32,
) -> (Region, Vec<f64>) {
    let mut region = Region::new(instances, warm_servers);
    region.play((0, LISTED_MS), per_s, |_, _| {});
    region.list(LISTED_MS, "new", fast_up_to);
    let means = region.mean_running((LISTED_MS, LISTED_MS + 4_000), per_s, "new");
    assert_eq!(region.refused, 0);
    (region, means)
}

/// Requests per second that fill three fifths of the slots of the warm servers and a further one.
fn normal_load(instances: usize, warm_servers: usize) -> (usize, usize, f64) {
    let slots = f64::from(SLOTS) * (warm_servers + 1) as f64;
    let request_s = (SLOT_TIME_MS + FIRST_CHUNK_MS) as f64 / 1_000.0;
    (instances, warm_servers, 0.6 * slots / request_s)
}

/// An engine that is late above six requests was filled to more than twice as many for seconds, and
/// the window of one instance kept the requests of the others from it.
#[test]
fn slow_starter_stays_near_its_pace() {
    for (instances, warm_servers) in [(1, 1), (2, 2), (20, 9), (20, 2)] {
        let (_, means) = load_of_new(normal_load(instances, warm_servers), 6);
        let settled = mean(&means[4..]);
        assert!((4.0..=9.5).contains(&settled), "{instances}: {means:.1?}");
    }
}

/// Windows that had been halved kept most of twenty instances from an engine for seconds after it had
/// become fast. Its share of the requests rises more slowly, because the latency model has learned the
/// late responses.
#[test]
fn slow_starter_is_at_full_use_when_it_is_warm() {
    for (instances, warm_servers) in [(1, 1), (2, 2), (20, 9), (20, 2)] {
        let load = normal_load(instances, warm_servers);
        let (mut region, _) = load_of_new(load, 6);
        let id = BackendName::new("new");
        region.servers.get_mut(&id).unwrap().fast_up_to = SLOTS;
        let from_ms = LISTED_MS + 4_000;
        let means = region.mean_running((from_ms, from_ms + 4_000), load.2, "new");
        assert!(
            mean(&means[12..]) >= 0.3 * f64::from(SLOTS),
            "{instances}: {means:.1?}"
        );
        let at_full_use = region.at_full_use("new");
        assert!(
            at_full_use * 4 >= instances * 3,
            "{at_full_use} of {instances}"
        );
    }
}

/// A healthy engine stayed idle because an instance sees only a part of its responses: with twenty
/// instances, one of about one request at a time.
#[test]
fn fast_starter_is_at_full_use_in_two_seconds() {
    for (instances, warm_servers) in [(1, 1), (2, 2), (20, 9), (20, 2)] {
        let (region, means) = load_of_new(normal_load(instances, warm_servers), SLOTS);
        assert!(
            mean(&means[4..8]) >= 0.3 * f64::from(SLOTS),
            "{instances}: {means:.1?}"
        );
        assert!(
            mean(&means[8..]) >= 0.45 * f64::from(SLOTS),
            "{instances}: {means:.1?}"
        );
        let at_full_use = region.at_full_use("new");
        assert!(
            at_full_use * 10 >= instances * 9,
            "{at_full_use} of {instances}"
        );
    }
}

/// With all engines of a region in a ramp, each had a full window, and requests that the engines could
/// run in time were refused.
#[test]
fn all_servers_started_at_once_no_request_is_refused() {
    for instances in [1, 2, 20] {
        let mut region = Region::new(instances, 0);
        for id in ["n0", "n1", "n2", "n3"] {
            region.list(0, id, SLOTS);
        }
        let (_, _, per_s) = normal_load(instances, 3);
        region.play((0, 3_000), per_s, |_, _| {});
        assert_eq!(region.refused, 0, "{instances}");
        assert_eq!(region.at_full_use("n0"), instances);
    }
}
