//! Deterministic model of a region's engines under the two load patterns, with and without what the
//! decisions learn of streams and paces.

mod common;

use std::time::Duration;

use common::{RequestContext, at, server, table_of_warm};
use hawthornquay_decisions::{BackendName, MonotonicTime, RegionName};
use hawthornquay_traffic::{
    BackendEntry, PlacementDecision, PlacementOptions, PlacementRequest, RegionTable, ReportedLoad,
    ServerPick, ServerTable, Work, place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TICK_MS: u64 = 10;

/// Time from the start of the instance in which the load may be another one.
const FIRST_MS: u64 = 10_000;

/// Prompt tokens that an engine prefills in one step, beside one token of each running stream.
const CHUNK_TOKENS: f64 = 2_048.0;

/// Load pattern, with the figures of a deployment.
struct Pattern {
    engines: usize,
    slots: u32,
    tokens_per_ms: f64,
    /// Time of a step without prompts, at the pace 1.
    step_ms: f64,
    /// Prompt tokens that are in no cache.
    tokens: u64,
    events: u64,
    tokens_per_event: u64,
    target: Duration,
    gap: Duration,
    deadline_ms: u64,
    /// Requests per second, and their rate in the first 10 s.
    requests_per_s: f64,
    first_per_s: f64,
    /// Pace of each engine in each half second, in percent; 100 for all if empty.
    paces: Vec<Vec<u32>>,
    /// Whether the engines state their pace.
    states_pace: bool,
    /// Whether the course of streams is recorded.
    records_streams: bool,
}

/// What became of the streams.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    in_time: usize,
    /// Streams that did not end before the deadline.
    ended_late: usize,
    /// Streams of the others with a pause beyond the target.
    paused: usize,
    refused: usize,
}

struct Stream {
    pick: ServerPick,
    sent_ms: u64,
    /// Prompt tokens left; no event before they are prefilled.
    tokens: f64,
    /// Output tokens so far.
    output: u64,
    last_event_ms: Option<u64>,
    longest_pause_ms: u64,
}

struct Region<'a> {
    pattern: &'a Pattern,
    table: ServerTable,
    streams: Vec<Vec<Stream>>,
    /// End of the last step of each engine.
    step_ends: Vec<f64>,
    outcome: Outcome,
}

fn name(engine: usize) -> BackendName {
    BackendName::new(&format!("s{engine}"))
}

impl Region<'_> {
    fn pace(&self, ms: u64, engine: usize) -> u32 {
        let paces = self.pattern.paces.get(engine);
        paces.map_or(100, |paces| paces[(ms / 500) as usize % paces.len()])
    }

    fn stated_pace(&self, ms: u64, engine: usize) -> Option<u32> {
        self.pattern.states_pace.then(|| self.pace(ms, engine))
    }

    /// Runs the steps of an engine that end up to now.
    fn run(&mut self, ms: u64, engine: usize) {
        let pattern = self.pattern;
        let slots = pattern.slots as usize;
        loop {
            let mut chunk = CHUNK_TOKENS;
            for stream in self.streams[engine].iter().take(slots) {
                chunk -= stream.tokens.min(chunk);
            }
            let prefill_ms = (CHUNK_TOKENS - chunk) / pattern.tokens_per_ms;
            let pace = f64::from(self.pace(ms, engine)) / 100.0;
            let end = self.step_ends[engine] + pace * (pattern.step_ms + prefill_ms);
            if end > ms as f64 {
                break;
            }
            self.step_ends[engine] = end;
            self.end_step(ms, engine);
        }
        self.end_streams(ms, engine);
    }

    /// Takes the next prompt tokens from the streams in their order, and gives each of the others an
    /// output token.
    fn end_step(&mut self, ms: u64, engine: usize) {
        let pattern = self.pattern;
        let running = self.streams[engine].len() as u32;
        let load = ReportedLoad {
            running: running.min(pattern.slots),
            waiting: running.saturating_sub(pattern.slots),
            slots: pattern.slots,
            pace: self.stated_pace(ms, engine),
        };
        let (now, id) = (at(ms), name(engine));
        let table = &mut self.table;
        let mut chunk = CHUNK_TOKENS;
        let slots = pattern.slots as usize;
        for stream in self.streams[engine].iter_mut().take(slots) {
            let taken = stream.tokens.min(chunk);
            stream.tokens -= taken;
            chunk -= taken;
            if stream.tokens > 0.0 {
                continue;
            }
            stream.output += 1;
            if !stream.output.is_multiple_of(pattern.tokens_per_event) {
                continue;
            }
            if let Some(last) = stream.last_event_ms {
                let pause = ms - last;
                stream.longest_pause_ms = stream.longest_pause_ms.max(pause);
                if pattern.records_streams {
                    table.record_events(now, &id, 1, Duration::from_millis(pause));
                    let (events, tokens) = (
                        stream.output / pattern.tokens_per_event,
                        pattern.events * pattern.tokens_per_event,
                    );
                    table.record_running_stream(&id, events, tokens);
                }
            } else {
                let took = Duration::from_millis(ms - stream.sent_ms);
                table.record_first_byte(&stream.pick, Some(took));
                table.record_load_report(now, &id, load);
            }
            stream.last_event_ms = Some(ms);
        }
    }

    /// Ends the streams that are complete, or whose deadline has passed.
    fn end_streams(&mut self, ms: u64, engine: usize) {
        let pattern = self.pattern;
        let (id, table) = (name(engine), &mut self.table);
        let (deadline_ms, gap_ms) = (pattern.deadline_ms, pattern.gap.as_millis() as u64);
        let outcome = &mut self.outcome;
        self.streams[engine].retain(|stream| {
            let is_complete = stream.output >= pattern.events * pattern.tokens_per_event;
            let is_over = ms - stream.sent_ms >= deadline_ms;
            if !is_complete && !is_over {
                return true;
            }
            if stream.last_event_ms.is_none() {
                table.record_first_byte(&stream.pick, None);
            }
            let took = Duration::from_millis(ms - stream.sent_ms);
            table.record_end(&id, is_complete.then_some(took));
            if is_complete && pattern.records_streams {
                let tokens = pattern.events * pattern.tokens_per_event;
                table.record_complete_stream(&id, pattern.events, tokens);
            }
            if !is_complete {
                outcome.ended_late += 1;
            } else if stream.longest_pause_ms > gap_ms {
                outcome.paused += 1;
            } else {
                outcome.in_time += 1;
            }
            false
        });
    }

    fn send(&mut self, ms: u64, context: &RequestContext) {
        let pattern = self.pattern;
        let work = Work {
            prompt_tokens: pattern.tokens,
            output_tokens: pattern.events * pattern.tokens_per_event,
            parts: Vec::new(),
        };
        let req = PlacementRequest {
            target_latency: pattern.target,
            ..context.request(&work)
        };
        let mut decision = place_in(at(ms), &req, &mut self.table);
        if let PlacementDecision::Server(pick) = &decision
            && pick.is_pace_unknown
        {
            // The instance asks the server before it sends a long stream.
            let id = pick.id.clone();
            let engine = (0..pattern.engines).find(|n| name(*n) == id).unwrap();
            if let Some(percent) = self.stated_pace(ms, engine) {
                self.table.record_pace(at(ms), &id, percent);
                decision = place_in(at(ms), &req, &mut self.table);
            }
        }
        let PlacementDecision::Server(pick) = decision else {
            self.outcome.refused += 1;
            return;
        };
        self.table.record_sent(at(ms), &pick, None);
        let engine = (0..pattern.engines).find(|n| name(*n) == pick.id).unwrap();
        self.streams[engine].push(Stream {
            pick,
            sent_ms: ms,
            tokens: pattern.tokens as f64,
            output: 0,
            last_event_ms: None,
            longest_pause_ms: 0,
        });
    }
}

fn place_in(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    table: &mut ServerTable,
) -> PlacementDecision {
    let home = RegionName::new("home");
    let options = PlacementOptions {
        local_region: &home,
        allowed_regions: std::slice::from_ref(&home),
        may_forward: false,
        region_round_trip: Duration::ZERO,
        forward_margin: Duration::ZERO,
    };
    place(now, req, &options, table, &RegionTable::default())
}

/// Plays the pattern for a minute at evenly spaced requests, and lets the streams end.
fn play(pattern: &Pattern) -> Outcome {
    let entries: Vec<_> = (0..pattern.engines)
        .map(|n| BackendEntry {
            slots: pattern.slots,
            ..server(name(n).as_str(), "home-a")
        })
        .collect();
    let context = RequestContext {
        target_event_gap: Some(pattern.gap),
        time_left: Duration::from_millis(pattern.deadline_ms),
        ..RequestContext::default()
    };
    let mut region = Region {
        pattern,
        table: table_of_warm(&entries),
        streams: (0..pattern.engines).map(|_| Vec::new()).collect(),
        step_ends: vec![0.0; pattern.engines],
        outcome: Outcome::default(),
    };
    let mut due = 0.0;
    for ms in (0..60_000 + pattern.deadline_ms + TICK_MS).step_by(TICK_MS as usize) {
        for engine in 0..pattern.engines {
            region.run(ms, engine);
        }
        let per_s = match ms < FIRST_MS {
            true => pattern.first_per_s,
            false => pattern.requests_per_s,
        };
        due += per_s * TICK_MS as f64 / 1_000.0;
        while ms < 60_000 && due >= 1.0 {
            due -= 1.0;
            region.send(ms, &context);
        }
    }
    region.outcome
}

/// Pattern A: engines saturated by prompts.
fn saturated(requests_per_s: f64, records_streams: bool) -> Pattern {
    Pattern {
        engines: 4,
        slots: 64,
        tokens_per_ms: 61.8,
        step_ms: 3.09,
        tokens: 11_992,
        events: 42,
        tokens_per_event: 9,
        target: Duration::from_millis(2_500),
        gap: Duration::from_millis(600),
        deadline_ms: 12_000,
        requests_per_s,
        first_per_s: 5.0,
        paces: Vec::new(),
        states_pace: false,
        records_streams,
    }
}

/// Pattern B: uneven servers.
fn uneven(requests_per_s: f64, states_pace: bool) -> Pattern {
    let mut rng = StdRng::seed_from_u64(23);
    let paces = (0..6).map(|engine| {
        let usual = [80, 100, 100, 150, 250, 400][engine];
        let percents = (0..120).map(|_| usual * rng.random_range(75..=130) / 100);
        percents
            .map(|percent: u32| percent.clamp(60, 400))
            .collect()
    });
    Pattern {
        engines: 6,
        slots: 24,
        tokens_per_ms: 140.0,
        step_ms: 2.2,
        tokens: 11_992,
        events: 27,
        tokens_per_event: 14,
        target: Duration::from_millis(1_000),
        gap: Duration::from_millis(400),
        deadline_ms: 10_000,
        requests_per_s,
        first_per_s: 5.0,
        paces: paces.collect(),
        states_pace,
        records_streams: true,
    }
}

/// Asserts that at most half as many streams end late with the decision, and more are in time.
#[track_caller]
fn assert_fewer_late(with: &Pattern, without: &Pattern) {
    let (with, without) = (play(with), play(without));
    assert!(
        with.ended_late * 2 < without.ended_late,
        "{with:?}, {without:?}"
    );
    assert!(with.in_time > without.in_time, "{with:?}, {without:?}");
}

/// Guards against engines that work on streams which all miss their deadline although each of them
/// begins in time.
#[test]
fn saturated_engines_fewer_streams_end_late() {
    for per_s in [20.0, 30.0, 60.0] {
        assert_fewer_late(&saturated(per_s, true), &saturated(per_s, false));
    }
}

/// Guards against an instance that starts while the engines are saturated: no stream is complete from
/// which it could learn how long they are.
#[test]
fn saturated_engines_at_start_fewer_streams_end_late() {
    let pattern = |records_streams| Pattern {
        first_per_s: 30.0,
        ..saturated(30.0, records_streams)
    };
    assert_fewer_late(&pattern(true), &pattern(false));
}

/// Guards against streams at servers that are slow, as they state, while others would serve them.
#[test]
fn uneven_servers_fewer_streams_pause() {
    for per_s in [35.0, 40.0, 45.0] {
        let (with, without) = (play(&uneven(per_s, true)), play(&uneven(per_s, false)));
        assert!(with.paused < without.paused, "{with:?}, {without:?}");
        assert!(with.in_time > without.in_time, "{with:?}, {without:?}");
    }
}
