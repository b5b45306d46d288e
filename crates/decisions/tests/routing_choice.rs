//! Tests of the choice between servers, domains and regions, and of the state it depends on.

use std::time::Duration;

use hawthornquay_decisions::{
    InstanceId, InstanceName, LoadOutcome, LoadState, PrefixEvent, PrefixEventKind, PrefixEvents,
    PrefixHash, PrefixMap, Priority, RefusalCode, Residency, RoutingDecision, RoutingGrantor,
    RoutingGrants, RoutingHop, polling_instance,
};

use routing_fleet::{Fleet, NOW, key, report, target};

mod routing_fleet;

const INTERACTIVE: Priority = Priority::Interactive;

fn call(name: &str) -> RoutingDecision {
    RoutingDecision::Call(name.into())
}

fn forward(name: &str) -> RoutingDecision {
    RoutingDecision::Forward(name.into())
}

fn refusal_code(decision: &RoutingDecision) -> Option<RefusalCode> {
    match decision {
        RoutingDecision::Refuse(refusal) => Some(refusal.code),
        _ => None,
    }
}

/// Guards against a choice that ignores load, grants, the cost of a path or the send-away margin.
#[test]
fn choice_depends_on_load_path_and_grants() {
    let idle = || Fleet::new().load("a1-e1", 8).load("a1-e2", 0);
    let full = || Fleet::new().load("a1-e1", 12).load("a1-e2", 12);
    let cases = [
        ("idle server of the own domain", idle(), call("a1-e2")),
        (
            "idle own domain and idle other domain",
            idle().load("a2", 0),
            call("a1-e2"),
        ),
        (
            "own domain full, other domain idle",
            full().load("a2", 0),
            forward("a2"),
        ),
        (
            "region full, other region idle, no grant",
            full().load("b1", 0),
            RoutingDecision::Wait,
        ),
        (
            "region full, other region idle, grant held",
            full().load("b1", 0).grant("b1", 1),
            forward("b1"),
        ),
        (
            "all regions full, grant held",
            full().load("b1", 12).grant("b1", 1),
            RoutingDecision::Wait,
        ),
        (
            "other region not better by the margin",
            idle().load("b1", 0).grant("b1", 1),
            call("a1-e2"),
        ),
        (
            "other domain idle, other region idle",
            full().load("a2", 0).load("b1", 0).grant("b1", 1),
            forward("a2"),
        ),
    ];
    for (name, fleet, expected) in cases {
        assert_eq!(fleet.decide_for(INTERACTIVE, 0), expected, "{name}");
    }
}

/// Guards against batch requests that overload the links between regions: they must gain more from
/// another region than interactive requests.
#[test]
fn choice_batch_has_larger_margin() {
    let mut fleet = Fleet::new().load("a1-e1", 6).load("a1-e2", 6);
    fleet = fleet.load("b1", 0).grant("b1", 1);
    // The estimate is 0.55 s locally and 0.16 s in region `b`. The difference lies between the
    // margins of 0.15 s (interactive) and 0.6 s (batch).
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), forward("b1"));
    assert!(matches!(
        fleet.decide_for(Priority::Batch, 0),
        RoutingDecision::Call(_)
    ));
}

/// Guards against a new request that overtakes requests in the instance's queue.
#[test]
fn choice_waits_behind_queue() {
    let mut fleet = Fleet::new().load("a1-e1", 0);
    fleet.queue_wait = Duration::from_millis(10);
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), RoutingDecision::Wait);
}

/// Guards against all instances sending to the same server because they decide on the same lagging
/// report.
#[test]
fn choice_near_tie_is_random() {
    let fleet = Fleet::new().load("a1-e1", 0).load("a1-e2", 0);
    assert_ne!(
        fleet.decide_for(INTERACTIVE, 0),
        fleet.decide_for(INTERACTIVE, 1)
    );
}

/// Guards against ignoring requests that this instance sent after the last report was made.
#[test]
fn choice_counts_own_requests_since_report() {
    let mut fleet = Fleet::new().load("a1-e1", 0).load("a1-e2", 1);
    let later = NOW + Duration::from_millis(1);
    for _ in 0..4 {
        fleet.view.record_sent(key("a1-e1"), 400, later);
    }
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), call("a1-e2"));
    assert_eq!(fleet.decide_for(INTERACTIVE, 1), call("a1-e2"));
}

/// Guards against ignoring requests that other instances sent after the last report was made; they
/// are estimated from those of this instance.
#[test]
fn view_scales_own_requests_by_instance_count() {
    let mut fleet = Fleet::new().load("a1-e1", 4).load("a1-e2", 5);
    let later = NOW + Duration::from_millis(1);
    let occupied = |fleet: &Fleet| match fleet.view.state(&key("a1-e1"), later) {
        LoadState::Available(estimate) => estimate.occupied,
        state => panic!("{state:?}"),
    };
    let ticket = fleet.view.record_sent(key("a1-e1"), 400, later);
    assert_eq!(occupied(&fleet), 5.0);
    fleet.view.set_instance_count(3);
    assert_eq!(occupied(&fleet), 6.0);
    fleet.view.set_instance_count(1_000);
    assert_eq!(occupied(&fleet), 7.0);
    fleet
        .view
        .record_ended(ticket, LoadOutcome::Answered, later);
    assert_eq!(occupied(&fleet), 4.0);
}

/// Guards against counting short requests twice, in the report and as sent within its lag, so that
/// a server with free slots appears full.
#[test]
fn view_short_requests_count_once() {
    let mut fleet = Fleet::new();
    fleet.view.set_instance_count(2);
    let mut now = NOW;
    let mut running = std::collections::VecDeque::new();
    for _ in 0..200 {
        now = now + Duration::from_millis(20);
        running.push_back(fleet.view.record_sent(key("a1-e1"), 0, now));
        if running.len() > 10 {
            let ticket = running.pop_front().unwrap();
            fleet.view.record_ended(ticket, LoadOutcome::Answered, now);
        }
    }
    let mut fresh = report(10);
    fresh.sequence = 1_000;
    fleet
        .view
        .record_report(key("a1-e1"), fresh, Duration::from_secs(1), now);
    let LoadState::Available(estimate) = fleet.view.state(&key("a1-e1"), now) else {
        panic!("the server has a report");
    };
    assert!((9.0..=12.0).contains(&estimate.occupied), "{estimate:?}");
}

/// Guards against a domain that stops serving requests because load reports are missing.
#[test]
fn choice_without_reports_calls_own_domain() {
    assert!(matches!(
        Fleet::new().decide_for(INTERACTIVE, 0),
        RoutingDecision::Call(_)
    ));
}

/// Guards against sending requests to a server that has just failed, and against refusing requests
/// instead of waiting while all servers back off.
#[test]
fn choice_failed_server_backs_off() {
    let mut fleet = Fleet::new().load("a1-e1", 0).load("a1-e2", 7);
    let ticket = fleet.view.record_sent(key("a1-e1"), 0, NOW);
    fleet.view.record_ended(ticket, LoadOutcome::Failed, NOW);
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), call("a1-e2"));
    assert_eq!(fleet.decide_for(INTERACTIVE, 1), call("a1-e2"));
    let ticket = fleet.view.record_sent(key("a1-e2"), 0, NOW);
    fleet.view.record_ended(ticket, LoadOutcome::Failed, NOW);
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), RoutingDecision::Wait);
}

/// Guards against refusals with a wrong code, and against a request that is forwarded in a loop.
#[test]
fn choice_refuses_with_expected_code() {
    let mut elsewhere = Fleet::new().load("a1-e1", 0);
    elsewhere.residency = Residency::Regions(["b".into()].into_iter().collect());
    let mut looping = Fleet::new().load("a1-e1", 0);
    looping.hop = RoutingHop::Forwarded(2);
    let mut unserved = Fleet::new();
    unserved.bundle.backends.clear();
    let mut tried = Fleet::new().load("b1", 0).grant("b1", 1);
    tried.residency = Residency::Regions(["a".into()].into_iter().collect());
    tried.tried = ["a1-e1", "a1-e2", "a2"].map(key).to_vec();
    let cases = [
        (elsewhere, RefusalCode::ResidencyRefused),
        (looping, RefusalCode::HopRefused),
        (unserved, RefusalCode::RouteUnknown),
        (tried, RefusalCode::NoCapacity),
    ];
    for (fleet, code) in cases {
        assert_eq!(refusal_code(&fleet.decide_for(INTERACTIVE, 0)), Some(code));
    }
}

/// Guards against ignoring a cached prefix, and against counting a prefix as cached after missing
/// events or a restart of the engine.
#[test]
fn prefix_map_counts_cached_tokens() {
    let prompt = vec![b'x'; 1024];
    let hashes = PrefixHash::of_prompt("m", &prompt);
    let event = |sequence, kind, prefix| PrefixEvent {
        sequence,
        kind,
        prefix,
    };
    let batch = |events: Vec<PrefixEvent>| PrefixEvents {
        next: events.last().map_or(0, |event| event.sequence),
        events,
    };
    let stored = |sequence, block: usize| event(sequence, PrefixEventKind::Stored, hashes[block]);
    let evicted = |sequence, block: usize| event(sequence, PrefixEventKind::Evicted, hashes[block]);
    let cases = [
        ("two blocks", vec![stored(1, 0), stored(2, 1)], 128),
        ("middle block missing", vec![stored(1, 0), stored(2, 2)], 64),
        ("evicted", vec![stored(1, 0), evicted(2, 0)], 0),
        ("missing event", vec![stored(1, 0), stored(3, 1)], 0),
        (
            "repeated event",
            vec![stored(1, 0), evicted(2, 0), stored(1, 0)],
            0,
        ),
        (
            "stored after missing events",
            vec![stored(1, 3), stored(5, 0)],
            64,
        ),
    ];
    for (name, events, tokens) in cases {
        let mut map = PrefixMap::default();
        map.apply(&"e".into(), &batch(events));
        assert_eq!(map.cached_tokens(&"e".into(), &hashes), tokens, "{name}");
    }
    let mut map = PrefixMap::default();
    map.apply(&"e".into(), &batch(vec![stored(7, 0)]));
    map.apply(&"e".into(), &batch(vec![stored(1, 1)]));
    assert_eq!(
        map.cached_tokens(&"e".into(), &hashes),
        0,
        "restarted engine"
    );
}

/// Guards against a server with cold caches that gets its full share of requests right after an
/// outage.
#[test]
fn view_recovered_server_starts_slowly() {
    let mut fleet = Fleet::new().load("a1-e1", 0);
    let slots = |fleet: &Fleet, now| {
        fleet
            .view
            .domain_summary(&fleet.bundle, &"a1".into(), &target(), now)
            .map(|summary| summary.slots)
    };
    let mut seen = Vec::new();
    // Reports arrive every second until 1 s, and again from 20 s.
    for second in (0..=1).chain(20..=50) {
        let now = NOW + Duration::from_secs(second);
        let mut report = report(0);
        report.sequence = second + 2;
        fleet
            .view
            .record_report(key("a1-e1"), report, Duration::ZERO, now);
        if [1, 20, 35, 50].contains(&second) {
            seen.push(slots(&fleet, now).unwrap());
        }
    }
    assert_eq!(seen[0], 8);
    assert!(seen[1] <= 1, "{seen:?}");
    assert!(
        seen.is_sorted_by(|_, _| true) && seen[1] < seen[2],
        "{seen:?}"
    );
    assert_eq!(seen[3], 8);
    assert_eq!(
        slots(&fleet, NOW + Duration::from_secs(90)),
        None,
        "stale report"
    );
}

/// Guards against overload by requests of other regions, because grants together exceed the free
/// slots or are used after they expired.
#[test]
fn grants_stay_within_free_slots() {
    let mut grantor = RoutingGrantor::default();
    let mut summary = report(0);
    summary.slots = 40;
    let mut total = 0;
    for round in 0..5 {
        for number in 0..10 {
            let id = InstanceId::new(&format!("i{number}"), 1);
            let grant = grantor.grant(&id, &"b1".into(), &target(), 100, &summary, NOW);
            assert!(grant.requests <= 18, "round {round}");
            total += grant.requests;
        }
    }
    assert_eq!(total, 36);
    let id = InstanceId::new("i0", 1);
    let soon = NOW + Duration::from_secs(2);
    assert!(grantor.record_arrival(&id, &target(), soon));
    assert!(!grantor.record_arrival(&InstanceId::new("other", 1), &target(), soon));
    assert_eq!(grantor.outstanding_requests(&target(), soon), 36);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(
        grantor.outstanding_requests(&target(), later),
        1,
        "request has arrived but is not in the reports yet"
    );
    let mut grants = RoutingGrants::default();
    let grant = grantor.grant(&id, &"b1".into(), &target(), 1, &summary, later);
    grants.add(grant.clone(), later);
    grants.add(grant, later + Duration::from_secs(1));
    assert_eq!(grants.available(&"b1".into(), &target(), later), 2);
    let end = later + Duration::from_millis(2_500);
    assert!(grants.try_consume(&"b1".into(), &target(), end));
    assert!(!grants.try_consume(&"b1".into(), &target(), end));
    let later = NOW + Duration::from_secs(4);
    let fleet = Fleet::new().grant("b1", 5);
    assert_eq!(fleet.grants.available(&"b1".into(), &target(), later), 0);
}

/// Guards against a server that no instance polls or more than one does, and against reassigning the
/// servers of instances that remain when another one leaves.
#[test]
fn poller_assignment_is_stable() {
    let instances: Vec<InstanceName> = (0..5).map(|n| format!("i{n}").into()).collect();
    let mut moved = 0;
    for number in 0..100 {
        let backend = format!("e{number}").into();
        let all = polling_instance(&backend, &instances).unwrap();
        let fewer = polling_instance(&backend, &instances[1..]).unwrap();
        assert!(all == fewer || *all == instances[0]);
        moved += usize::from(all != fewer);
    }
    assert!((5..40).contains(&moved), "{moved}");
    assert_eq!(polling_instance(&"e".into(), []), None);
}
