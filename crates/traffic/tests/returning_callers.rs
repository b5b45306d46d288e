//! More requests than a region has room for, whose refused callers all return once: played with and
//! without promises of capacity on a model of a region.

mod common;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use common::{RequestContext, at, regions, server, table_of_warm, work};
use hawthornquay_decisions::{MonotonicTime, OrganisationId, ServiceName};
use hawthornquay_traffic::{
    PREFILL_TOKENS_PER_MS, PlacementDecision, PlacementOptions, RegionTable, ReturnKey,
    ReturnPromises, ServerPick, ServerTable, overload_retry_after, place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ENGINES: usize = 4;
const ORGANISATIONS: u32 = 16;
/// Time that a request runs after the first byte.
const RUN_MS: u64 = 400;

#[derive(Clone, Copy)]
struct Kind {
    tokens: u32,
    urgency: u8,
    target_ms: u64,
    limit_ms: u64,
}

/// Requests that arrive, per second.
#[derive(Clone, Copy)]
struct Load {
    duration_ms: u64,
    /// Time between the starts of two bursts of long streams, which last `burst_ms`.
    period_ms: u64,
    burst_ms: u64,
    long_in_burst: f64,
    long_otherwise: f64,
    urgent: Kind,
    urgent_per_s: f64,
    seed: u64,
}

const LONG: Kind = Kind {
    tokens: 11_992,
    urgency: 2,
    target_ms: 2_500,
    limit_ms: 12_000,
};

const SHORT: Kind = Kind {
    tokens: 2_368,
    urgency: 0,
    target_ms: 800,
    limit_ms: 3_000,
};

/// Urgent request that waits as long as a long stream.
const URGENT: Kind = Kind {
    tokens: 2_368,
    urgency: 0,
    target_ms: 2_500,
    limit_ms: 12_000,
};

#[derive(Clone, Copy)]
struct Request {
    number: u64,
    kind: Kind,
    deadline_ms: u64,
    has_returned: bool,
}

/// Requests by outcome.
#[derive(Debug, Default)]
struct Outcome {
    /// Callers that were refused twice.
    refused_again: u32,
    /// Callers that returned.
    returned: u32,
    /// Urgent requests that did not return and whose first byte came within the latency target.
    urgent_in_time: u32,
    /// Urgent requests that were sent to an engine.
    urgent_served: u32,
    /// Long streams that were refused twice.
    long_refused_again: u32,
    /// All requests that were sent to an engine.
    served: u32,
    /// Requests that were sent to an engine and whose first byte came after the deadline.
    too_late: u32,
}

/// Engine that prefills one prompt after the other.
#[derive(Default)]
struct Engine {
    free_at_ms: f64,
    running: VecDeque<(u64, u64, Request, ServerPick)>,
}

struct Region {
    servers: ServerTable,
    promises: ReturnPromises,
    has_promises: bool,
    engines: BTreeMap<String, Engine>,
    ended: BTreeMap<u64, Vec<ServerPick>>,
    returning: BTreeMap<u64, Vec<Request>>,
    rng: StdRng,
    outcome: Outcome,
}

impl Region {
    fn new(has_promises: bool) -> Self {
        let ids: Vec<String> = (0..ENGINES).map(|n| format!("s{n}")).collect();
        let entries: Vec<_> = ids.iter().map(|id| server(id, "home-a")).collect();
        let mut promises = ReturnPromises::default();
        let rate = ENGINES as f64 * PREFILL_TOKENS_PER_MS;
        promises.set_capacity([(&ServiceName::new("llm"), rate)].into_iter(), 1);
        Self {
            servers: table_of_warm(&entries),
            promises,
            has_promises,
            engines: ids.into_iter().map(|id| (id, Engine::default())).collect(),
            ended: BTreeMap::new(),
            returning: BTreeMap::new(),
            rng: StdRng::seed_from_u64(7),
            outcome: Outcome::default(),
        }
    }

    fn play(mut self, load: &Load) -> Outcome {
        let mut arrivals = StdRng::seed_from_u64(load.seed);
        let mut number = 0;
        for ms in 0..load.duration_ms {
            self.advance(ms);
            let long_per_s = match ms % load.period_ms < load.burst_ms {
                true => load.long_in_burst,
                false => load.long_otherwise,
            };
            for (kind, per_s) in [(LONG, long_per_s), (load.urgent, load.urgent_per_s)] {
                if arrivals.random_bool(per_s / 1_000.0) {
                    number += 1;
                    self.place(
                        ms,
                        Request {
                            number,
                            kind,
                            deadline_ms: ms + kind.limit_ms,
                            has_returned: false,
                        },
                    );
                }
            }
            for mut request in self.returning.remove(&ms).unwrap_or_default() {
                self.outcome.returned += 1;
                request.has_returned = true;
                self.place(ms, request);
            }
        }
        self.outcome
    }

    /// Records the first bytes and ends of responses.
    fn advance(&mut self, ms: u64) {
        for engine in self.engines.values_mut() {
            while let Some((sent_ms, first_ms, request, pick)) = engine.running.front() {
                if *first_ms > ms {
                    break;
                }
                let took = Duration::from_millis(first_ms - sent_ms);
                self.servers.record_first_byte(pick, Some(took));
                let is_in_time =
                    !request.has_returned && took <= Duration::from_millis(request.kind.target_ms);
                let is_urgent = request.kind.urgency == 0;
                self.outcome.urgent_in_time += u32::from(is_urgent && is_in_time);
                self.outcome.too_late += u32::from(*first_ms > request.deadline_ms);
                let ended = self.ended.entry(ms + RUN_MS).or_default();
                ended.push(pick.clone());
                engine.running.pop_front();
            }
        }
        for pick in self.ended.remove(&ms).unwrap_or_default() {
            self.servers
                .record_end(&pick.id, Some(Duration::from_millis(RUN_MS)));
        }
    }

    fn place(&mut self, ms: u64, request: Request) {
        let (now, kind) = (at(ms), request.kind);
        let service = ServiceName::new("llm");
        let mut work = work(1, 0, kind.tokens);
        work.parts[1].id = request.number;
        let organisation = format!("o{}", request.number % u64::from(ORGANISATIONS));
        let key = ReturnKey::new(Some(&OrganisationId::new(&organisation)), &service, &work);
        let key = key.unwrap();
        let is_returning = self.has_promises && self.promises.redeem(now, key);
        let time_left = Duration::from_millis(request.deadline_ms.saturating_sub(ms));
        let context = RequestContext {
            target_latency: Duration::from_millis(kind.target_ms),
            time_left,
            reserved_latency: self.promises.reserved_latency(
                now,
                &service,
                kind.urgency,
                is_returning,
            ),
            is_returning: is_returning
                && self.promises.may_exceed_target(now, &service, kind.urgency),
            ..RequestContext::default()
        };
        let local = regions(&["home"]);
        let options = PlacementOptions {
            local_region: &local[0],
            allowed_regions: &local,
            may_forward: false,
            region_round_trip: Duration::ZERO,
            forward_margin: Duration::ZERO,
        };
        let req = context.request(&work);
        let board = RegionTable::default();
        match place(now, &req, &options, &mut self.servers, &board) {
            PlacementDecision::Server(pick) => self.send(ms, request, pick),
            PlacementDecision::Overloaded { .. } if request.has_returned => {
                self.outcome.refused_again += 1;
                self.outcome.long_refused_again += u32::from(kind.urgency != 0);
            }
            PlacementDecision::Overloaded {
                expected_latency, ..
            } => {
                let excess = expected_latency.saturating_sub(context.target_latency);
                let id = format!("r{}", request.number);
                let mut after = overload_retry_after(excess, time_left, &id);
                if self.has_promises {
                    after = self.promise(now, key, kind, after, time_left);
                }
                // Callers return a little early or late.
                let late = self.rng.random_range(-50..150);
                let return_ms = (ms as i64 + after.as_millis() as i64 + late).max(ms as i64 + 1);
                let return_ms = return_ms as u64;
                self.returning.entry(return_ms).or_default().push(request);
            }
            decision => panic!("{decision:?}"),
        }
    }

    fn promise(
        &mut self,
        now: MonotonicTime,
        key: ReturnKey,
        kind: Kind,
        after: Duration,
        time_left: Duration,
    ) -> Duration {
        self.promises.expire(now);
        let service = ServiceName::new("llm");
        self.promises.record_refused(now, &service, kind.urgency);
        let latest = now + time_left / 3;
        let (tokens, due) = (u64::from(kind.tokens), now + after);
        let promised = self
            .promises
            .promise(now, key, tokens, kind.urgency, due, latest);
        promised.map_or(after, |due| due.since(now))
    }

    fn send(&mut self, ms: u64, request: Request, pick: ServerPick) {
        self.outcome.served += 1;
        let kind = request.kind;
        self.outcome.urgent_served += u32::from(kind.urgency == 0);
        if !request.has_returned {
            let (service, tokens) = (ServiceName::new("llm"), kind.tokens.into());
            self.promises
                .record_admitted(&service, kind.urgency, tokens);
        }
        self.servers.record_sent(at(ms), &pick, None);
        let engine = self.engines.get_mut(pick.id.as_str()).unwrap();
        let prefill_ms = f64::from(kind.tokens) / PREFILL_TOKENS_PER_MS;
        engine.free_at_ms = engine.free_at_ms.max(ms as f64) + prefill_ms;
        let first_ms = engine.free_at_ms as u64 + 60;
        engine.running.push_back((ms, first_ms, request, pick));
    }
}

/// Plays a load without and with promises.
fn play(load: &Load) -> (Outcome, Outcome) {
    let without = Region::new(false).play(load);
    let with = Region::new(true).play(load);
    println!("without {without:?}\nwith    {with:?}");
    (without, with)
}

/// Guards against callers that are told when to return and are refused again, against promises that
/// cost urgent requests or throughput, and against admitted requests that miss their deadline.
#[test]
fn promised_callers_are_refused_again_less_often_and_urgent_requests_do_not_suffer() {
    for seed in 1..=3 {
        let load = Load {
            duration_ms: 100_000,
            period_ms: 20_000,
            burst_ms: 8_000,
            long_in_burst: 45.0,
            long_otherwise: 12.0,
            urgent: URGENT,
            urgent_per_s: 6.0,
            seed,
        };
        let (without, with) = play(&load);
        let outcomes = format!("{without:?} {with:?}");
        assert!(without.refused_again >= 30, "too little load: {outcomes}");
        assert!(
            with.refused_again * 4 <= without.refused_again * 3,
            "{outcomes}"
        );
        assert!(with.urgent_in_time >= without.urgent_in_time, "{outcomes}");
        assert!(with.served >= without.served, "{outcomes}");
        assert_eq!(with.too_late, 0, "{outcomes}");
    }
}

/// Guards against an overload that outlasts its cause. Long streams keep the queue above the latency
/// target of short ones, which come at a rate that the engines can just serve: if refused short
/// streams could return without bound, they would keep the queue there, so that all short streams
/// were served late.
#[test]
fn returning_requests_do_not_take_the_place_of_new_ones() {
    for seed in 1..=3 {
        let load = Load {
            duration_ms: 30_000,
            period_ms: 30_000,
            burst_ms: 15_000,
            long_in_burst: 28.0,
            long_otherwise: 25.0,
            urgent: SHORT,
            urgent_per_s: 30.0,
            seed,
        };
        let (without, with) = play(&load);
        let outcomes = format!("{without:?} {with:?}");
        assert!(without.refused_again > 0, "too little load: {outcomes}");
        assert!(
            with.urgent_in_time * 10 >= without.urgent_in_time * 8,
            "{outcomes}"
        );
        assert!(
            with.urgent_served * 50 >= without.urgent_served * 49,
            "{outcomes}"
        );
    }
}
