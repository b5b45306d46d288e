//! Placement by the paces and event rates of engines.

mod common;

use std::time::Duration;

use common::{RequestContext, at, listing, regions, server, table_of_warm, work};
use hawthornquay_decisions::{BackendName, InstanceName, Map, RegionName, ServiceName};
use hawthornquay_traffic::{
    BackendEntry, PlacementDecision, PlacementOptions, PlacementRequest, RegionReport, RegionTable,
    ReportedLoad, ServerPick, ServerTable, ServiceReport, StreamConcern, Work, place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Events of a stream with the output tokens of [`work`].
const EVENTS: u64 = 40;

/// Time between two events at the pace 1.
const INTERVAL_MS: u64 = 50;

const GAP: Duration = Duration::from_millis(400);

fn entries(count: usize) -> Vec<BackendEntry> {
    (0..count)
        .map(|n| server(&format!("s{n}"), "home-a"))
        .collect()
}

fn name(n: usize) -> BackendName {
    BackendName::new(&format!("s{n}"))
}

/// Returns the context of a region with `instances`, for streams whose pauses matter.
fn context(instances: usize) -> RequestContext {
    let names: Vec<_> = (0..instances)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    RequestContext {
        instance: names[0].clone(),
        region_instances: names,
        target_event_gap: Some(GAP),
        ..RequestContext::default()
    }
}

/// Records complete streams at a server, from `from_ms` on.
fn record_streams(table: &mut ServerTable, id: &BackendName, from_ms: u64, interval_ms: u64) {
    for n in 1..=EVENTS {
        let interval = Duration::from_millis(interval_ms);
        table.record_events(at(from_ms + n * interval_ms), id, 1, interval);
    }
    table.record_complete_stream(id, EVENTS, work(1, 0, 1).output_tokens);
}

/// States a pace until it is the usual one.
fn state(table: &mut ServerTable, ms: u64, id: &BackendName, percent: u32) {
    for _ in 0..9 {
        table.record_pace(at(ms), id, percent);
    }
}

/// Returns work with the prompt of `work` and few output tokens.
fn short_work(id: u64) -> Work {
    Work {
        output_tokens: 5,
        ..work(id, 0, 950)
    }
}

fn regions_with(event_interval_ms: u64) -> RegionTable {
    let report = ServiceReport {
        servers: 4,
        free_slots: 100,
        expected_latency: Duration::from_millis(80),
        offload_permille: 0,
        event_interval: Duration::from_millis(event_interval_ms),
    };
    let mut regions = RegionTable::default();
    let report = RegionReport {
        demands: Map::default(),
        services: [(ServiceName::new("llm"), report)].into_iter().collect(),
    };
    regions.apply_report(&RegionName::new("far"), at(10_000), report);
    regions
}

fn place_at(
    ms: u64,
    req: &PlacementRequest<'_>,
    table: &mut ServerTable,
    far: Option<&RegionTable>,
) -> PlacementDecision {
    let options = PlacementOptions {
        local_region: &RegionName::new("home"),
        allowed_regions: &regions(&["home", "far"]),
        may_forward: far.is_some(),
        region_round_trip: Duration::from_millis(110),
        forward_margin: Duration::from_millis(40),
    };
    let none = RegionTable::default();
    place(at(ms), req, &options, table, far.unwrap_or(&none))
}

/// Returns the share of `picks` requests that go to the first `first` servers.
fn share_of_first(
    table: &mut ServerTable,
    context: &RequestContext,
    (picks, first): (usize, usize),
    make: impl Fn(u64) -> Work,
) -> f64 {
    let ids: Vec<_> = (0..first).map(name).collect();
    let found = (0..picks).filter(|n| {
        let work = make(*n as u64);
        let pick = table.pick(at(0), &context.request(&work)).unwrap();
        ids.contains(&pick.id)
    });
    found.count() as f64 / picks as f64
}

/// Sends requests to servers with some load; returns the picks.
fn picks_under_load(table: &mut ServerTable, context: &RequestContext) -> Vec<ServerPick> {
    let mut rng = StdRng::seed_from_u64(5);
    let mut picks = Vec::new();
    for n in 0..300 {
        let work = work(n % 5, 2_000, rng.random_range(100..9_000));
        let pick = table.pick(at(100), &context.request(&work)).unwrap();
        table.record_sent(at(100), &pick, work.shared_prefix_hash());
        if n % 3 == 0 {
            table.record_first_byte(&pick, Some(Duration::from_millis(900)));
            table.record_end(&pick.id, Some(Duration::from_millis(1_500)));
        }
        picks.push(pick);
    }
    picks
}

/// Guards against a change of the choice of servers, or of the prediction that it is based on, in
/// deployments whose servers state no pace.
#[test]
fn pick_without_stated_pace_is_as_before() {
    for instances in [1, 20] {
        let context = context(instances);
        let mut plain = table_of_warm(&entries(8));
        let mut streaming = table_of_warm(&entries(8));
        for n in 0..8 {
            record_streams(&mut streaming, &name(n), 0, 40 + 40 * n as u64);
        }
        let first = picks_under_load(&mut plain, &context);
        let second = picks_under_load(&mut streaming, &context);
        for (one, other) in first.iter().zip(&second) {
            assert_eq!(one.id, other.id);
            assert_eq!(one.expected_latency, other.expected_latency);
            assert_eq!((one.pace, one.is_pace_unknown), (None, false));
            assert_eq!((other.pace, other.is_pace_unknown), (None, false));
        }
    }
    // 60 ms and 95 tokens per ms are the figures of the first deployment.
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    for _ in 0..500 {
        let work = work(1, 0, 9_500);
        let pick = table.pick(at(0), &context.request(&work)).unwrap();
        assert!((pick.uncorrected_ms - 160.0).abs() < 1e-6, "{pick:?}");
        table.record_sent(at(0), &pick, None);
        table.record_first_byte(&pick, Some(Duration::from_millis(300)));
        table.record_end(&pick.id, None);
    }
}

/// Guards against long streams at slow servers, which are late there, and against short ones that take
/// the places of the long ones at the fast servers.
#[test]
fn pick_long_streams_get_fast_servers() {
    let context = context(20);
    let mut table = table_of_warm(&entries(20));
    for n in 0..20 {
        record_streams(&mut table, &name(n), 0, INTERVAL_MS);
        state(&mut table, 0, &name(n), if n < 10 { 100 } else { 300 });
    }
    let long = share_of_first(&mut table, &context, (2_000, 10), |n| work(n, 0, 950));
    let short = share_of_first(&mut table, &context, (2_000, 10), short_work);
    assert!(long >= 0.9, "{long}");
    assert!(short <= 0.85, "{short}");
}

/// Guards against a prompt that makes many running streams pause for too long although another server
/// has few.
#[test]
fn pick_prompt_avoids_server_with_many_streams() {
    let mut context = context(1);
    let mut table = table_of_warm(&entries(2));
    for (n, running, pace) in [(0, 40, 100), (1, 1, 200)] {
        let load = ReportedLoad {
            running,
            waiting: 0,
            slots: 100,
            pace: Some(pace),
        };
        table.record_load_report(at(0), &name(n), load);
    }
    let work = work(1, 0, 12_000);
    let pick = table.pick(at(0), &context.request(&work)).unwrap();
    assert_eq!(pick.id, name(1));
    // The same prompt goes to the faster server if no pause matters.
    context.target_event_gap = None;
    let pick = table.pick(at(0), &context.request(&work)).unwrap();
    assert_eq!(pick.id, name(0));
}

/// Guards against streams that are admitted in vain, because their engine works on prompts only, and
/// against a refusal that outlasts the cause.
#[test]
fn place_stream_beyond_deadline_is_refused_until_streams_are_faster() {
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    let work = work(1, 0, 950);
    let req = context.request(&work);
    record_streams(&mut table, &name(0), 0, INTERVAL_MS);
    let choice = place_at(2_000, &req, &mut table, None);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
    // 40 events take 16 s, and 10 s are left.
    record_streams(&mut table, &name(0), 2_000, 400);
    let choice = place_at(18_000, &req, &mut table, None);
    assert!(
        matches!(choice, PlacementDecision::Overloaded { .. }),
        "{choice:?}"
    );
    // A request with few events ends in time all the same.
    let short = short_work(2);
    let choice = place_at(18_000, &context.request(&short), &mut table, None);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
    record_streams(&mut table, &name(0), 18_000, INTERVAL_MS);
    record_streams(&mut table, &name(0), 20_000, INTERVAL_MS);
    let choice = place_at(22_000, &req, &mut table, None);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
}

/// Guards against the refusal of streams that take most of the time to their deadline at engines with
/// little to do, and against their admission to engines that are saturated.
#[test]
fn place_stream_of_long_route_is_admitted_unless_saturated() {
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    let work = work(1, 0, 950);
    let req = context.request(&work);
    // 40 events take 8 s, and 10 s are left.
    record_streams(&mut table, &name(0), 0, 200);
    let choice = place_at(8_000, &req, &mut table, None);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
    // They take as long where 40 ms between two events have been seen.
    let mut table = table_of_warm(&entries(1));
    record_streams(&mut table, &name(0), 0, 40);
    record_streams(&mut table, &name(0), 1_600, 200);
    let choice = place_at(9_600, &req, &mut table, None);
    assert!(
        matches!(choice, PlacementDecision::Overloaded { .. }),
        "{choice:?}"
    );
}

/// Guards against engines that are filled with long streams whose callers can wait, while urgent short
/// ones beside them are late, and against streams that give way to nothing.
#[test]
fn place_stream_gives_way_to_urgent_ones_only() {
    let mut context = context(1);
    context.target_event_gap = Some(Duration::from_millis(600));
    context.target_latency = Duration::from_millis(2_500);
    let work = work(1, 0, 950);
    let is_admitted = |urgent: Option<(u8, u64)>| {
        let mut table = table_of_warm(&entries(1));
        record_streams(&mut table, &name(0), 0, 40);
        record_streams(&mut table, &name(0), 1_600, 150);
        if let Some((priority, target_ms)) = urgent {
            let req = PlacementRequest {
                route_priority: priority,
                target_latency: Duration::from_millis(target_ms),
                ..context.request(&work)
            };
            place_at(7_500, &req, &mut table, None);
        }
        // 40 events take 6 s, and 10 s are left.
        let req = PlacementRequest {
            route_priority: 2,
            ..context.request(&work)
        };
        let choice = place_at(7_600, &req, &mut table, None);
        matches!(choice, PlacementDecision::Server(_))
    };
    assert!(is_admitted(None));
    assert!(is_admitted(Some((0, 2_000))), "a similar target");
    assert!(is_admitted(Some((2, 800))), "the same urgency");
    assert!(!is_admitted(Some((0, 800))));
}

/// Guards against a refusal while another region could serve the stream in time.
#[test]
fn place_stream_beyond_deadline_is_forwarded() {
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    let work = work(1, 0, 950);
    record_streams(&mut table, &name(0), 0, 400);
    let far = regions_with(INTERVAL_MS);
    let choice = place_at(10_100, &context.request(&work), &mut table, Some(&far));
    assert!(
        matches!(&choice, PlacementDecision::Region { name, .. } if name.as_str() == "far"),
        "{choice:?}"
    );
}

/// Guards against a service without running streams that refuses all of them for ever, because the rate
/// of its last ones is the last one known.
#[test]
fn place_stream_is_admitted_again_without_running_streams() {
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    let work = work(1, 0, 950);
    record_streams(&mut table, &name(0), 0, 400);
    let choice = place_at(16_000, &context.request(&work), &mut table, None);
    assert!(
        matches!(choice, PlacementDecision::Overloaded { .. }),
        "{choice:?}"
    );
    let choice = place_at(76_000, &context.request(&work), &mut table, None);
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
}

/// Guards against streams that are forwarded for a small gain, or to a region of which nothing is known,
/// and against two regions that forward the same streams to each other.
#[test]
fn place_slow_stream_is_forwarded_for_much_faster_events() {
    let mut context = context(1);
    context.time_left = Duration::from_secs(60);
    let work = work(1, 0, 950);
    let is_forwarded = |local_ms: u64, remote_ms: u64| {
        let mut table = table_of_warm(&entries(1));
        record_streams(&mut table, &name(0), 10_100 - EVENTS * local_ms, local_ms);
        let far = regions_with(remote_ms);
        let choice = place_at(10_100, &context.request(&work), &mut table, Some(&far));
        matches!(choice, PlacementDecision::Region { .. })
    };
    assert!(is_forwarded(200, 60));
    assert!(!is_forwarded(200, 150));
    assert!(!is_forwarded(200, 0));
    assert!(!is_forwarded(60, 20), "the local streams are not slow");
    for local_ms in (20..=250).step_by(10) {
        for remote_ms in (20..=250).step_by(10) {
            let both = is_forwarded(local_ms, remote_ms) && is_forwarded(remote_ms, local_ms);
            assert!(!both, "{local_ms} and {remote_ms}");
        }
    }
}

/// Plays requests to servers that state a pace with each response; returns the requests of each server
/// in the last fifth of `rounds`.
fn play(
    context: &RequestContext,
    servers: usize,
    rounds: u64,
    mut pace: impl FnMut(u64, usize) -> u32,
) -> Vec<u32> {
    let mut table = table_of_warm(&entries(servers));
    for n in 0..servers {
        record_streams(&mut table, &name(n), 0, INTERVAL_MS);
        table.record_pace(at(0), &name(n), pace(0, n));
    }
    let mut counts = vec![0; servers];
    let mut running: Vec<ServerPick> = Vec::new();
    for round in 1..=rounds {
        let now = at(round * 20);
        let work = work(round, 0, 2_000);
        let mut pick = table.pick(now, &context.request(&work)).unwrap();
        let index = |pick: &ServerPick| (0..servers).find(|n| name(*n) == pick.id).unwrap();
        if pick.is_pace_unknown {
            table.record_pace(now, &pick.id, pace(round, index(&pick)));
            pick = table.pick(now, &context.request(&work)).unwrap();
        }
        table.record_sent(now, &pick, None);
        if round > rounds - rounds / 5 {
            counts[index(&pick)] += 1;
        }
        running.push(pick);
        if running.len() > 20 {
            let done = running.remove(0);
            let load = ReportedLoad {
                running: running.iter().filter(|one| one.id == done.id).count() as u32,
                waiting: 0,
                slots: 100,
                pace: Some(pace(round, index(&done))),
            };
            table.record_first_byte(&done, Some(Duration::from_millis(90)));
            table.record_load_report(now, &done.id, load);
            table.record_end(&done.id, Some(Duration::from_millis(500)));
        }
    }
    counts
}

/// Asserts that a server that states what `lie` returns for 20 s has about its share of the requests
/// 140 s later.
#[track_caller]
fn assert_share_after_lies(mut lie: impl FnMut() -> u32) {
    const LIES_UNTIL: u64 = 1_000;
    for instances in [1, 20] {
        let context = context(instances);
        let counts = play(&context, 8, 10_000, |round, n| {
            if n == 0 && round < LIES_UNTIL {
                lie()
            } else {
                100
            }
        });
        let fair = counts.iter().sum::<u32>() / 8;
        assert!(
            (fair / 3..=fair * 3).contains(&counts[0]),
            "{instances} instances: {counts:?}"
        );
    }
}

/// Guards against streams that are forwarded to a region whose servers are all slower: its report states
/// the interval at the pace 1, and the local one is that at the pace of the picked server.
#[test]
fn place_slow_stream_stays_if_the_other_region_is_slower() {
    let mut far_table = table_of_warm(&entries(4));
    for n in 0..4 {
        state(&mut far_table, 0, &name(n), 300);
        record_streams(&mut far_table, &name(n), 2_000, 180);
    }
    let services = far_table.service_reports(at(9_300), |_| true);
    let report = RegionReport {
        demands: Map::default(),
        services,
    };
    let mut far = RegionTable::default();
    far.apply_report(&RegionName::new("far"), at(9_300), report);

    let mut context = context(1);
    context.time_left = Duration::from_secs(60);
    let mut table = table_of_warm(&entries(1));
    state(&mut table, 0, &name(0), 100);
    record_streams(&mut table, &name(0), 3_300, 150);
    let work = work(1, 0, 950);
    let choice = place_at(9_300, &context.request(&work), &mut table, Some(&far));
    assert!(matches!(choice, PlacementDecision::Server(_)), "{choice:?}");
}

/// Guards against operators who see an overload where the course of the streams is the reason.
#[test]
fn place_states_stream_concern() {
    let context = context(1);
    let mut table = table_of_warm(&entries(1));
    let work = work(1, 0, 950);
    let far = regions_with(60);
    let mut decide = |interval_ms: u64, time_left_s: u64, far: Option<&RegionTable>| {
        record_streams(&mut table, &name(0), 0, interval_ms);
        let req = PlacementRequest {
            time_left: Duration::from_secs(time_left_s),
            ..context.request(&work)
        };
        match place_at(10_100, &req, &mut table, far) {
            PlacementDecision::Region { concern, .. } => ("forwarded", concern),
            PlacementDecision::Overloaded { concern, .. } => ("refused", concern),
            decision => panic!("{decision:?}"),
        }
    };
    let deadline = Some(StreamConcern::Deadline);
    assert_eq!(decide(400, 10, None), ("refused", deadline));
    assert_eq!(decide(400, 10, Some(&far)), ("forwarded", deadline));
    let slow = Some(StreamConcern::Slow);
    assert_eq!(decide(400, 60, Some(&far)), ("forwarded", slow));
    // Too little time for the first chunk is an overload, whatever the stream.
    assert_eq!(decide(400, 0, None), ("refused", None));
}

/// Guards against a server that is preferred long after it has stated that it is very fast.
#[test]
fn lying_server_fast_does_no_lasting_harm() {
    assert_share_after_lies(|| 5);
}

/// Guards against a server that gets no requests long after it has stated that it is very slow.
#[test]
fn lying_server_slow_does_no_lasting_harm() {
    assert_share_after_lies(|| 5_000);
}

/// Guards against a server whose requests do not return after it has stated another pace each time.
#[test]
fn lying_server_changing_does_no_lasting_harm() {
    let mut rng = StdRng::seed_from_u64(17);
    assert_share_after_lies(|| rng.random_range(5..=5_000));
}

/// Guards against honest servers that lose requests to one that keeps stating that it is very fast.
#[test]
fn lying_server_does_not_stop_the_others() {
    let context = context(1);
    let counts = play(&context, 8, 5_000, |_, n| if n == 0 { 5 } else { 100 });
    assert_eq!(counts.iter().sum::<u32>(), 1_000);
    let counts = play(&context, 8, 5_000, |_, n| if n == 0 { 5_000 } else { 100 });
    assert_eq!(counts.iter().sum::<u32>(), 1_000);
    assert!(counts[1..].iter().all(|count| *count > 50), "{counts:?}");
}

/// Guards against a pace that outlives the process that stated it.
#[test]
fn restarted_server_has_no_pace() {
    let context = context(1);
    let mut table = table_of_warm(&entries(2));
    state(&mut table, 0, &name(0), 400);
    state(&mut table, 0, &name(1), 100);
    let work = work(1, 0, 950);
    let pick = table.pick(at(0), &context.request(&work)).unwrap();
    assert_eq!((pick.id, pick.pace), (name(1), Some(1.0)));
    let mut restarted = entries(2);
    restarted[0].started_ms = 2;
    table.apply_listing(at(10), at(10), &listing(2, &restarted));
    let mut alone = context;
    alone.excluded_servers = vec![name(1)];
    let pick = table.pick(at(20), &alone.request(&work)).unwrap();
    assert_eq!((pick.id, pick.pace), (name(0), Some(1.0)));
}
