//! Work that instances assume, or promise, at servers that they share.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{LoadKey, LoadReport, LoadState, MonotonicTime, RouteTarget};
use http::StatusCode;
use support::{Caller, Fleet, FleetBuilder, now, wait_until};

/// Time at which a grant still counts, while a request that arrived under it no longer does.
const AFTER_ARRIVAL: Duration = Duration::from_millis(1_600);

/// Returns the requests that an instance assumes at an idle server after one send of its own.
fn occupied_after_send(fleet: &Fleet, instance: usize) -> f64 {
    let key = LoadKey::Backend("idle".into());
    let report = LoadReport {
        name: "idle".to_owned(),
        running: 0,
        waiting: 0,
        slots: 8,
        servers: 1,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: 1_000.0,
        decode_ms: 10.0,
        leaving: false,
        sequence: now().0,
    };
    let mut routing = fleet.node(instance).routing.lock();
    routing
        .view
        .record_report(key.clone(), report, Duration::ZERO, now());
    routing.view.record_sent(key.clone(), 10, now());
    match routing.view.state(&key, now()) {
        LoadState::Available(estimate) => estimate.occupied,
        state => panic!("{state:?}"),
    }
}

/// Guards against instances of a domain that ignore each other's sends since the last report.
#[tokio::test(flavor = "multi_thread")]
async fn load_view_counts_the_live_instances_of_the_domain() {
    let mut fleet = FleetBuilder::default().start().await;
    // Two instances: each own send stands for half a send of the other as well.
    wait_until(Duration::from_secs(5), "two instances", || {
        (occupied_after_send(&fleet, 0) - 1.5).abs() < 1e-9
    })
    .await;
    assert!((occupied_after_send(&fleet, 2) - 1.0).abs() < 1e-9);
    fleet.stop_instance(1).await;
    wait_until(Duration::from_secs(15), "one instance", || {
        (occupied_after_send(&fleet, 0) - 1.0).abs() < 1e-9
    })
    .await;
}

/// Guards against a grant to another region that stays promised after the request has arrived, so
/// that free slots are withheld.
#[tokio::test(flavor = "multi_thread")]
async fn grant_used_by_an_arrival_is_no_longer_promised() {
    let mut fleet = FleetBuilder::default()
        .engine_domains(&["lagos-a"])
        .start()
        .await;
    // One instance of the domain is left, so that the granting one receives the request.
    fleet.stop_instance(1).await;
    wait_until(Duration::from_secs(15), "one instance", || {
        fleet.node(2).members.lock().state(&"lagos-2".into(), now())
            != Some(hawthornquay_decisions::MemberState::Live)
    })
    .await;
    let began = now();
    let caller = Caller::new(Some("key-kolanut"));
    let answer = caller.chat(fleet.callers(2), "n", 2, false).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let target = RouteTarget::Model("ledger-7b".into());
    let promised = |at: MonotonicTime| {
        let mut routing = fleet.node(0).routing.lock();
        routing.grantor.outstanding_requests(&target, at)
    };
    let at_arrival = promised(began);
    let later = promised(now() + AFTER_ARRIVAL);
    assert!(at_arrival > 0, "no grant was given");
    assert_eq!(later, at_arrival - 1);
}
