//! Load that instances estimate for, or grant at, backend servers that they share.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{LoadKey, LoadReport, LoadState, MonotonicTime, RouteTarget};
use http::StatusCode;
use support::{Caller, Fleet, FleetBuilder, now, wait_until};

/// Time after an arrival at which an unused grant still counts as outstanding, but one used by a
/// request does not.
const AFTER_ARRIVAL: Duration = Duration::from_millis(1_600);

/// Returns the number of requests that an instance estimates at an idle server after it has sent
/// one request.
fn estimate_after_send(fleet: &Fleet, instance: usize) -> f64 {
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

/// Guards against instances of a domain that ignore the requests which the others may have sent
/// since the last load report.
#[tokio::test(flavor = "multi_thread")]
async fn load_view_scales_with_live_instances_of_the_domain() {
    let mut fleet = FleetBuilder::default().start().await;
    // With two instances, each own request counts 1.5: half a request is added for the other
    // instance.
    wait_until(Duration::from_secs(5), "estimate for two instances", || {
        (estimate_after_send(&fleet, 0) - 1.5).abs() < 1e-9
    })
    .await;
    assert!((estimate_after_send(&fleet, 2) - 1.0).abs() < 1e-9);
    fleet.stop_instance(1).await;
    wait_until(Duration::from_secs(15), "one instance", || {
        (estimate_after_send(&fleet, 0) - 1.0).abs() < 1e-9
    })
    .await;
}

/// Guards against a grant to another region that stays outstanding after its request has arrived,
/// and so withholds free slots.
#[tokio::test(flavor = "multi_thread")]
async fn grant_ends_when_its_request_arrives() {
    let mut fleet = FleetBuilder::default()
        .engine_domains(&["lagos-a"])
        .start()
        .await;
    // With one remaining instance in the domain, the instance that grants also receives the
    // request.
    fleet.stop_instance(1).await;
    wait_until(Duration::from_secs(15), "one instance", || {
        fleet.node(2).members.lock().state(&"lagos-2".into(), now())
            != Some(hawthornquay_decisions::MemberState::Live)
    })
    .await;
    let started = now();
    let caller = Caller::new(Some("key-kolanut"));
    let response = caller.chat(fleet.callers(2), "n", 2, false).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    let target = RouteTarget::Model("ledger-7b".into());
    let outstanding = |at: MonotonicTime| {
        let mut routing = fleet.node(0).routing.lock();
        routing.grantor.outstanding_requests(&target, at)
    };
    let at_arrival = outstanding(started);
    let later = outstanding(now() + AFTER_ARRIVAL);
    assert!(at_arrival > 0, "no capacity was granted");
    assert_eq!(later, at_arrival - 1);
}
