//! Window of a backend server that has started or recovered, at one instance.

mod common;

use std::time::Duration;

use common::{RequestContext, at, listing, server, state_warm, table_of_warm};
use hawthornquay_decisions::{BackendName, InstanceName, RegionName};
use hawthornquay_traffic::{
    BackendEntry, ColdServer, LimitStatement, PlacementDecision, PlacementOptions, RampCause,
    RampEvent, RampEventKind, RampOutcome, RegionTable, ReportedLoad, ServerFailure, ServerPick,
    ServerTable, ServerUsage, Work, place,
};

const SLOTS: u32 = 24;

fn engine(id: &str) -> BackendEntry {
    BackendEntry {
        slots: SLOTS,
        ..server(id, "home-a")
    }
}

fn plain(id: &str, service: &str, slots: u32) -> BackendEntry {
    BackendEntry {
        service: service.into(),
        slots,
        ..server(id, "home-a")
    }
}

fn request_work() -> Work {
    Work {
        prompt_tokens: 950,
        output_tokens: 100,
        parts: Vec::new(),
    }
}

/// One instance with its table.
struct Instance {
    context: RequestContext,
    table: ServerTable,
    id: BackendName,
}

impl Instance {
    /// Returns an instance to which `listed` is listed anew beside `warm`.
    fn with_new(warm: &[BackendEntry], listed: BackendEntry) -> Self {
        let mut table = table_of_warm(warm);
        let id = listed.id.clone();
        let context = RequestContext {
            service: listed.service.clone(),
            ..RequestContext::default()
        };
        let mut entries = warm.to_vec();
        entries.push(listed);
        table.apply_listing(at(0), at(0), &listing(2, &entries));
        Self { context, table, id }
    }

    /// Returns an instance that knows the server to be warm from its first list on.
    fn with_known(entry: BackendEntry) -> Self {
        Self {
            context: RequestContext {
                service: entry.service.clone(),
                ..RequestContext::default()
            },
            table: table_of_warm(std::slice::from_ref(&entry)),
            id: entry.id,
        }
    }

    fn pick(&mut self, ms: u64) -> Option<ServerPick> {
        let work = request_work();
        self.table.pick(at(ms), &self.context.request(&work))
    }

    /// Sends a request, and returns the pick.
    fn send(&mut self, ms: u64) -> ServerPick {
        let pick = self.pick(ms).unwrap();
        self.table.record_sent(at(ms), &pick, None);
        pick
    }

    /// Completes the response to a request sent at `sent_ms`, whose first chunk took `share` of the
    /// predicted time.
    fn respond(&mut self, sent_ms: u64, pick: &ServerPick, share: f64) {
        let took = pick.expected_latency.mul_f64(share);
        let now = at(sent_ms) + took;
        self.table.record_first_byte(pick, Some(took));
        let outcome = RampOutcome::FirstChunk(took);
        self.table
            .record_ramp_outcome(now, at(sent_ms), pick, outcome);
        self.table.record_end(&pick.id, None);
        self.table.record_success(now, &pick.id);
    }

    /// Sends a request and completes the response.
    fn exchange(&mut self, ms: u64, share: f64) {
        let pick = self.send(ms);
        self.respond(ms, &pick, share);
    }

    fn record(&mut self, ms: u64, pick: &ServerPick, outcome: RampOutcome) {
        self.table
            .record_ramp_outcome(at(ms), at(ms), pick, outcome);
    }

    fn fail(&mut self, ms: u64, failure: ServerFailure) {
        let configuration = &self.context.configuration;
        self.table
            .record_failure(at(ms), &self.id, failure, configuration);
    }

    fn window(&self) -> Option<u32> {
        self.table.ramp_window(&self.id)
    }

    /// Places a request at `ms`, and returns the window after that.
    fn window_at(&mut self, ms: u64) -> Option<u32> {
        self.pick(ms);
        self.window()
    }

    fn causes(&mut self) -> Vec<RampCause> {
        let events = self.table.take_ramp_events();
        let began = events.into_iter().filter_map(|event| match event.kind {
            RampEventKind::Began { cause, .. } => Some(cause),
            RampEventKind::Ended { .. } => None,
        });
        began.collect()
    }
}

/// A server that was listed anew got as many requests at once as it has slots.
#[test]
fn pick_listed_anew_begins_with_an_eighth() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    assert_eq!(instance.window(), None, "no request has been placed");
    assert_eq!(instance.window_at(10), Some(3));
    assert_eq!(instance.causes(), [RampCause::Listed]);
    assert_eq!(instance.table.ramping_servers(), 1);
}

/// A process that has just started has seen no server start. With windows, it would have left all
/// servers of its region idle.
#[test]
fn pick_of_restarted_instance_has_no_window() {
    let mut instance = Instance::with_known(engine("s1"));
    assert_eq!(instance.window_at(10), None);

    let entries = [engine("s1")];
    instance.table = ServerTable::default();
    instance
        .table
        .apply_listing(at(0), at(0), &listing(1, &entries));
    instance.table.configure(&instance.context.configuration);
    state_warm(&mut instance.table, &entries[0], at(20));
    assert_eq!(instance.window_at(30), None, "stated to be warm");
    instance
        .table
        .apply_listing(at(40), at(40), &listing(2, &entries));
    assert_eq!(instance.window_at(50), None, "listed again");
    assert_eq!(instance.causes(), []);
}

/// The cold time of the first list is only assumed, so its end is no start of a server.
#[test]
fn pick_after_assumed_cold_time_has_no_window() {
    let mut instance = Instance::with_known(engine("s1"));
    instance.table = ServerTable::default();
    let list = listing(1, &[engine("s1")]);
    instance.table.apply_listing(at(0), at(0), &list);
    instance.table.configure(&instance.context.configuration);
    assert_eq!(instance.window_at(100), None);
    assert_eq!(instance.window_at(3_100), None);
}

/// A server got its full load at the end of its cold time.
#[test]
fn pick_after_cold_time_begins_ramp() {
    let mut instance = Instance::with_known(engine("s1"));
    let cold = ColdServer {
        id: instance.id.clone(),
        started_ms: 1,
        remaining: Duration::from_secs(3),
    };
    instance.table.apply_cold(at(0), &cold);
    assert_eq!(instance.window_at(2_900), None, "still cold");
    assert_eq!(instance.window_at(3_010), Some(3));
    assert_eq!(instance.causes(), [RampCause::Warm]);

    // A response that was on its way states a cold time that has just ended.
    instance.exchange(3_020, 0.9);
    let remaining = Duration::from_millis(5);
    let id = instance.id.clone();
    instance.table.record_cold_report(at(3_030), &id, remaining);
    assert_eq!(instance.window_at(3_040), Some(4));
    assert_eq!(instance.causes(), []);
}

/// A server got its full load with the first success after it could not be reached.
#[test]
fn pick_after_unreachable_begins_ramp() {
    let mut instance = Instance::with_known(engine("s1"));
    instance.fail(0, ServerFailure::Unreachable);
    let entry = engine("s1");
    state_warm(&mut instance.table, &entry, at(10));
    instance.exchange(600, 0.9);
    assert_eq!(instance.window_at(700), Some(3));
    assert_eq!(instance.causes(), [RampCause::Reachable]);
}

/// A server that answers errors has not started again; a window would add to the cost of its failures.
#[test]
fn pick_after_errors_has_no_window() {
    let mut instance = Instance::with_known(engine("s1"));
    for ms in [0, 10, 20] {
        instance.fail(ms, ServerFailure::BadResponse);
    }
    instance.exchange(100, 0.9);
    assert_eq!(instance.window_at(200), None);
}

/// A fast server was kept from its full load for longer than its responses showed.
#[test]
fn fast_starter_is_at_full_use_after_few_responses() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    for n in 0..u64::from(SLOTS - 3) {
        assert_eq!(instance.window_at(100 * n), Some(3 + n as u32));
        instance.exchange(100 * n + 10, 0.9);
    }
    assert_eq!(instance.window(), None);
    assert_eq!(instance.table.ramping_servers(), 0);
    let kinds: Vec<RampEventKind> = instance
        .table
        .take_ramp_events()
        .into_iter()
        .map(|RampEvent { kind, .. }| kind)
        .collect();
    let [began, RampEventKind::Ended { took, responses }] = kinds[..] else {
        panic!("{kinds:?}");
    };
    let cause = RampCause::Listed;
    assert_eq!(began, RampEventKind::Began { cause, window: 3 });
    assert_eq!(responses, SLOTS - 3);
    assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(2_200));
}

/// One of twenty instances sees a twentieth of the responses. With a growth of one for each, it would
/// have needed twenty times as long as a single instance.
#[test]
fn response_to_one_of_twenty_instances_counts_for_all() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    instance.context.region_instances = (1..=20)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    for (ms, window) in [(0, Some(3)), (100, Some(6)), (200, Some(12)), (300, None)] {
        assert_eq!(instance.window_at(ms), window, "{ms}");
        instance.exchange(ms, 0.9);
    }
}

/// Whether a response is late was judged by another prediction than that with which its request was
/// placed, and all requests that were at the server together halved the window again.
#[test]
fn late_responses_halve_window_once() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    for n in 0..9 {
        instance.exchange(10 * n, 0.9);
    }
    assert_eq!(instance.window(), Some(12));
    let picks: Vec<ServerPick> = (0..4).map(|_| instance.send(1_000)).collect();
    instance.respond(1_000, &picks[0], 1.9);
    assert_eq!(instance.window(), Some(12), "neither in time nor late");
    for pick in &picks[1..] {
        instance.respond(1_000, pick, 2.1);
        assert_eq!(instance.window(), Some(6));
    }
    let pick = instance.send(2_000);
    instance.record(2_500, &pick, RampOutcome::NoChunk(pick.expected_latency));
    assert_eq!(instance.window(), Some(6), "the caller left early");
    let waited = pick.expected_latency * 3;
    instance.record(2_500, &pick, RampOutcome::NoChunk(waited));
    assert_eq!(instance.window(), Some(3));
}

/// A server that fails again during its ramp went on as if it had not.
#[test]
fn failure_during_ramp_halves_window_or_restarts_ramp() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    for n in 0..5 {
        instance.exchange(10 * n, 0.9);
    }
    assert_eq!(instance.window(), Some(8));
    for (ms, window) in [(1_000, 4), (2_000, 2), (3_000, 1), (4_000, 1)] {
        let pick = instance.pick(ms).unwrap();
        instance.record(ms, &pick, RampOutcome::Failed);
        assert_eq!(instance.window(), Some(window));
    }
    for n in 0..7 {
        instance.exchange(5_000 + 10 * n, 0.9);
    }
    assert_eq!(instance.window(), Some(8));
    instance.fail(6_000, ServerFailure::Unreachable);
    state_warm(&mut instance.table, &engine("s1"), at(6_010));
    instance.exchange(6_600, 0.9);
    assert_eq!(instance.window_at(6_700), Some(3));
    assert_eq!(instance.causes(), [RampCause::Listed, RampCause::Reachable]);
}

/// A small plain server with a window of one request stood still between any two requests.
#[test]
fn window_of_plain_server_is_at_least_two() {
    let mut instance = Instance::with_new(&[], plain("s1", "app", 6));
    assert_eq!(instance.window_at(0), Some(2));
    let pick = instance.pick(0).unwrap();
    instance.record(10, &pick, RampOutcome::Failed);
    assert_eq!(instance.window(), Some(2));

    let mut smallest = Instance::with_new(&[], plain("s1", "app", 2));
    assert_eq!(smallest.window_at(0), None);
    assert_eq!(smallest.causes(), []);
}

/// Servers of a service without engines and without a cold time have no warm-up.
#[test]
fn server_of_service_without_cold_time_has_no_window() {
    let mut instance = Instance::with_new(&[], plain("s1", "app", 24));
    let services = &mut instance.context.configuration.services;
    let service = services.get_mut(&instance.context.service).unwrap();
    service.cold_duration = Duration::ZERO;
    assert_eq!(instance.window_at(0), None);
}

/// Requests went to a server whose window was full although another one was left, or were refused
/// when none was left.
#[test]
fn pick_full_window_is_passed_over_while_another_server_is_left() {
    let mut instance = Instance::with_new(&[engine("w1")], engine("s1"));
    let mut sent_to_new = 0;
    for _ in 0..12 {
        if instance.send(10).id == instance.id {
            sent_to_new += 1;
        }
    }
    assert_eq!(sent_to_new, 3);
    assert!(instance.table.take_passed_over() > 0);
    assert_eq!(instance.table.take_passed_over(), 0);

    instance.context.excluded_servers = vec![BackendName::new("w1")];
    assert_eq!(instance.send(20).id, instance.id);
    assert_eq!(instance.table.take_passed_over(), 0);
}

/// A request was refused as too late because the only server that could run it in time had a full
/// window.
#[test]
fn place_other_server_too_late_uses_server_with_full_window() {
    for is_rejecting in [false, true] {
        let mut instance = Instance::with_new(&[engine("w1")], engine("s1"));
        let busy = ServerPick {
            id: BackendName::new("w1"),
            uncached_tokens: 300_000,
            ..instance.pick(0).unwrap()
        };
        let (work, region) = (request_work(), RegionName::new("home"));
        if is_rejecting {
            let load = ReportedLoad {
                running: SLOTS,
                waiting: 5,
                slots: SLOTS,
                pace: None,
            };
            instance.table.record_load_report(at(0), &busy.id, load);
            instance.table.record_admission(&busy.id, false);
        } else {
            instance.table.record_sent(at(0), &busy, None);
        }
        let options = PlacementOptions {
            local_region: &region,
            allowed_regions: std::slice::from_ref(&region),
            may_forward: false,
            region_round_trip: Duration::from_millis(50),
            forward_margin: Duration::from_millis(50),
        };
        for n in 0..6 {
            let req = instance.context.request(&work);
            let regions = RegionTable::default();
            let placed = place(at(10), &req, &options, &mut instance.table, &regions);
            let PlacementDecision::Server(pick) = placed else {
                panic!("request {n}: {placed:?}");
            };
            assert_eq!(pick.id, instance.id, "request {n}");
            instance.table.record_sent(at(10), &pick, None);
        }
        assert_eq!(instance.table.take_passed_over(), 0);
    }
}

/// A window let more requests through than the cold-start limit of a server, or counted responses of
/// a cold server.
#[test]
fn cold_limit_binds_before_window() {
    let mut cold = engine("s1");
    cold.cold_remaining = Duration::from_secs(3);
    let mut instance = Instance::with_new(&[], cold);
    let mut sent = Vec::new();
    for ms in (0..3_000).step_by(50) {
        if instance.pick(ms).is_some() {
            instance.exchange(ms, 0.9);
            sent.push(ms);
        }
    }
    // The single instance sends at 0.8 times 4.6 requests a second.
    assert!((10..=12).contains(&sent.len()), "{sent:?}");
    assert_eq!(instance.window(), None);
    assert_eq!(instance.window_at(3_010), Some(3));
    assert_eq!(instance.causes(), [RampCause::Warm]);
}

/// A request went to a server that takes no more of them because its window had room.
#[test]
fn stated_limit_binds_before_window() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    let statement = LimitStatement::PerSecond(1.0);
    let id = instance.id.clone();
    instance.table.record_limit(at(0), at(0), &id, statement);
    instance.context.may_ask_permits = false;
    instance.context.may_grant_permits = false;
    assert!(instance.pick(10).is_none());
    instance.context.may_ask_permits = true;
    assert!(instance.pick(20).unwrap().is_limited);
    instance
        .table
        .record_denial(at(30), &id, Duration::from_millis(500));
    assert!(instance.pick(40).is_none());
}

/// Two instances count the requests of both: one with few of its own filled the window of the region
/// a second time.
#[test]
fn window_counts_requests_of_other_instances() {
    let mut instance = Instance::with_new(&[engine("w1")], engine("s1"));
    instance.context.region_instances = vec![InstanceName::new("i1"), InstanceName::new("i2")];
    let usage = ServerUsage {
        id: instance.id.clone(),
        requests: 3,
        pending_tokens: 0,
    };
    instance.table.apply_peer_usage(at(0), 1, &[usage]);
    assert_eq!(instance.send(10).id, BackendName::new("w1"));
    assert_eq!(instance.table.take_passed_over(), 1);
}

/// An instance whose window the others filled never saw a response, so it never sent a request to a
/// server that was at full use for the others.
#[test]
fn window_filled_by_others_grows_without_responses() {
    let mut instance = Instance::with_new(&[engine("w1")], engine("s1"));
    instance.context.region_instances = vec![InstanceName::new("i1"), InstanceName::new("i2")];
    for ms in (0..=1_600).step_by(100) {
        let usage = ServerUsage {
            id: instance.id.clone(),
            requests: SLOTS,
            pending_tokens: 0,
        };
        instance.table.apply_peer_usage(at(ms), 1, &[usage]);
        instance.pick(ms);
        let window = match ms {
            0..500 => Some(3),
            500..1_000 => Some(6),
            1_000..1_500 => Some(12),
            _ => None,
        };
        assert_eq!(instance.window(), window, "{ms}");
    }
}

/// The window of an instance that saw no response grew although its own requests were waiting for an
/// overloaded server.
#[test]
fn window_does_not_grow_while_own_request_waits() {
    let mut instance = Instance::with_new(&[engine("w1")], engine("s1"));
    instance.context.region_instances = vec![InstanceName::new("i1"), InstanceName::new("i2")];
    let pick = instance.send(0);
    assert_eq!(pick.id, instance.id);
    let usage = ServerUsage {
        id: instance.id.clone(),
        requests: SLOTS,
        pending_tokens: 0,
    };
    for ms in (100..=2_000).step_by(100) {
        let rows = std::slice::from_ref(&usage);
        instance.table.apply_peer_usage(at(ms), 1, rows);
        assert_eq!(instance.window_at(ms), Some(3), "{ms}");
    }
    instance.table.record_first_byte(&pick, None);
    assert_eq!(instance.window_at(2_010), Some(6));
}

/// The window of a single instance grew without responses in time, although it sees all of them.
#[test]
fn window_of_single_instance_grows_with_timely_responses_only() {
    let mut instance = Instance::with_new(&[], engine("s1"));
    for _ in 0..3 {
        let pick = instance.send(0);
        let took = pick.expected_latency.mul_f64(1.5);
        instance.table.record_first_byte(&pick, Some(took));
        instance.record(0, &pick, RampOutcome::FirstChunk(took));
    }
    for ms in (100..=3_000).step_by(100) {
        assert_eq!(instance.window_at(ms), Some(3), "{ms}");
    }
}
