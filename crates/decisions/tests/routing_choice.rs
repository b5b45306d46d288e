//! Choice between servers, domains and regions.

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

fn refused(decision: &RoutingDecision) -> Option<RefusalCode> {
    match decision {
        RoutingDecision::Refuse(refusal) => Some(refusal.code),
        _ => None,
    }
}

/// Guards against a choice that ignores load, a tier or a margin.
#[test]
fn choice_by_load() {
    let idle = || Fleet::new().load("a1-e1", 8).load("a1-e2", 0);
    let full = || Fleet::new().load("a1-e1", 12).load("a1-e2", 12);
    let cases = [
        ("idle server of the own domain", idle(), call("a1-e2")),
        (
            "idle own domain before an idle other",
            idle().load("a2", 0),
            call("a1-e2"),
        ),
        (
            "other domain when the own is full",
            full().load("a2", 0),
            forward("a2"),
        ),
        (
            "far region only with a grant",
            full().load("b1", 0),
            RoutingDecision::Wait,
        ),
        (
            "far region with a grant",
            full().load("b1", 0).grant("b1", 1),
            forward("b1"),
        ),
        (
            "far region full",
            full().load("b1", 12).grant("b1", 1),
            RoutingDecision::Wait,
        ),
        (
            "far region not worth its path",
            idle().load("b1", 0).grant("b1", 1),
            call("a1-e2"),
        ),
        (
            "region before far region",
            full().load("a2", 0).load("b1", 0).grant("b1", 1),
            forward("a2"),
        ),
    ];
    for (name, fleet, expected) in cases {
        assert_eq!(fleet.decide_for(INTERACTIVE, 0), expected, "{name}");
    }
}

/// Guards against batch requests that crowd the links between regions.
#[test]
fn choice_batch_margin_larger() {
    let mut fleet = Fleet::new().load("a1-e1", 6).load("a1-e2", 6);
    fleet = fleet.load("b1", 0).grant("b1", 1);
    // Home takes 0.55 s and the far region 0.16 s, between the margins of 0.15 s and 0.6 s.
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), forward("b1"));
    assert!(matches!(
        fleet.decide_for(Priority::Batch, 0),
        RoutingDecision::Call(_)
    ));
}

/// Guards against a new request that overtakes those which wait in the instance.
#[test]
fn choice_waits_behind_queue() {
    let mut fleet = Fleet::new().load("a1-e1", 0);
    fleet.queue_wait = Duration::from_millis(10);
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), RoutingDecision::Wait);
}

/// Guards against all instances sending to one server on the same lagging report.
#[test]
fn choice_near_tie_is_random() {
    let fleet = Fleet::new().load("a1-e1", 0).load("a1-e2", 0);
    assert_ne!(
        fleet.decide_for(INTERACTIVE, 0),
        fleet.decide_for(INTERACTIVE, 1)
    );
}

/// Guards against own sends that a lagging report hides.
#[test]
fn choice_counts_own_sends() {
    let mut fleet = Fleet::new().load("a1-e1", 0).load("a1-e2", 1);
    let later = NOW + Duration::from_millis(1);
    for _ in 0..4 {
        fleet.view.record_sent(key("a1-e1"), 400, later);
    }
    assert_eq!(fleet.decide_for(INTERACTIVE, 0), call("a1-e2"));
    assert_eq!(fleet.decide_for(INTERACTIVE, 1), call("a1-e2"));
}

/// Guards against other instances' sends that neither the report nor the own sends show.
#[test]
fn choice_scales_own_sends_by_instances() {
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

/// Guards against short requests that count twice, in the report and as sends since its lag, so
/// that a server with free slots looks full.
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

/// Guards against a domain that stops serving when its reports fail.
#[test]
fn choice_without_reports_calls_own_domain() {
    assert!(matches!(
        Fleet::new().decide_for(INTERACTIVE, 0),
        RoutingDecision::Call(_)
    ));
}

/// Guards against requests sent to a server that just failed, and against none ever again.
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

/// Guards against wrong refusals and against a request that loops.
#[test]
fn choice_refusals() {
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
        assert_eq!(refused(&fleet.decide_for(INTERACTIVE, 0)), Some(code));
    }
}

/// Guards against a cached prefix that is not used, and one that is believed after a gap.
#[test]
fn choice_prefers_cached_prefix() {
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
        ("hole in the prefix", vec![stored(1, 0), stored(2, 2)], 64),
        ("evicted", vec![stored(1, 0), evicted(2, 0)], 0),
        ("gap", vec![stored(1, 0), stored(3, 1)], 0),
        (
            "repeated event",
            vec![stored(1, 0), evicted(2, 0), stored(1, 0)],
            0,
        ),
        ("after a gap", vec![stored(1, 3), stored(5, 0)], 64),
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

/// Guards against a recovered, cold server that gets its whole share at once.
#[test]
fn view_recovered_server_ramps() {
    let mut fleet = Fleet::new().load("a1-e1", 0);
    let slots = |fleet: &Fleet, now| {
        fleet
            .view
            .domain_summary(&fleet.bundle, &"a1".into(), &target(), now)
            .map(|summary| summary.slots)
    };
    let mut seen = Vec::new();
    // Reports arrive each second until 1 s and again from 20 s on.
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

/// Guards against far regions that flood a receiver, together or with an expired grant.
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
        "arrived, not in reports yet"
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

/// Guards against a server polled by nobody or by two, and against needless changes.
#[test]
fn poller_is_stable() {
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
