//! Instance processes that are stopped, killed or replaced.

mod support;

use std::time::Duration;

use hawthornquay_decisions::InstanceState;
use hawthornquay_standins::{EngineSettings, ServiceFaults};
use http::StatusCode;
use rustix::process::Signal;
use support::{BufferedResponse, Caller, FleetBuilder};
use tokio::{task::JoinSet, time::Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_hawthornquayd");
const LAGOS: usize = 0;
const KANO: usize = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against a graceful stop that truncates a response, reports a wrong execution for a
/// refusal, keeps its slots or never ends.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_completes_requests_in_flight_and_releases_slots() {
    let engine = EngineSettings {
        decode_ms: 15,
        slots: 32,
        ..EngineSettings::default()
    };
    let mut fleet = FleetBuilder::default()
        .engine(engine)
        .engine_domains(&["kano-a"])
        .processes(DAEMON)
        .start()
        .await;
    fleet.service.set_faults(ServiceFaults {
        delay_ms: 2_000,
        ..ServiceFaults::default()
    });
    let caller = Caller::new(Some("key-kolanut"));
    let mut calls: JoinSet<(String, BufferedResponse)> = JoinSet::new();
    for number in 0..4 {
        for instance in [LAGOS, KANO] {
            let (caller, to) = (caller.clone(), fleet.callers(instance));
            calls.spawn(async move {
                let nonce = format!("stream{instance}{number}");
                let response = caller.chat(to, &nonce, 200, true).await;
                (nonce, response)
            });
        }
        let (caller, to) = (caller.clone(), fleet.callers(KANO));
        calls.spawn(async move {
            let nonce = format!("book{number}");
            let response = caller.book(to, None, &nonce).await;
            (nonce, response)
        });
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while fleet.engines[0].counters().started < 8 || fleet.service.runs().len() < 4 {
        if let Some(ended) = calls.try_join_next() {
            let (nonce, response) = ended.unwrap();
            panic!("{nonce} ended before SIGTERM: {}", response.text());
        }
        assert!(
            Instant::now() < deadline,
            "not all requests are running after 5 s"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut process = fleet.processes[KANO].take().unwrap();
    process.signal(Signal::TERM);
    let (to, late_caller) = (fleet.callers(KANO), Caller::new(Some("key-kolanut")));
    let mut refused = 0;
    while refused < 3 {
        let response = late_caller.chat(to, "late", 2, false).await;
        if response.status == StatusCode::OK {
            assert_eq!(refused, 0, "a request was accepted after a refusal");
            continue;
        }
        assert_eq!(response.code(), "shutting-down", "{}", response.text());
        assert_eq!(response.execution(), "not-run", "{}", response.text());
        refused += 1;
    }
    let started = fleet.engines[0].counters().started;
    // The engine is reachable only through the stopping instance.
    let forwarded = late_caller
        .call(
            fleet.callers(LAGOS),
            http::Method::POST,
            "/v1/chat/completions",
            &[("x-deadline-ms", "500")],
            support::chat_body("forwarded", 2, false),
        )
        .await;
    assert_eq!(forwarded.execution(), "not-run", "{}", forwarded.text());
    assert_eq!(
        fleet.engines[0].counters().started,
        started,
        "a new request was forwarded to the stopping instance"
    );
    for (nonce, response) in calls.join_all().await {
        let text = response.text();
        assert_eq!(response.status, StatusCode::OK, "{nonce}: {text}");
        assert!(text.contains(&nonce), "{nonce}: {text}");
        if nonce.starts_with("stream") {
            assert!(
                text.contains("[DONE]"),
                "the response to {nonce} is truncated"
            );
        }
    }
    let status = process.wait(Duration::from_secs(20)).await;
    assert!(status.success(), "{status}");
    let body = support::chat_body("late", 2, false);
    let path = "/v1/chat/completions";
    let sent = late_caller
        .send(to, http::Method::POST, path, &[], body)
        .await;
    assert!(
        sent.is_err_and(|error| error.is_connect()),
        "connected after the process exited"
    );
    let domain = &fleet.settings[KANO].instance.domain;
    assert_eq!(fleet.slots(domain).await, [], "slots were not released");
}

/// Guards against slots that are taken over before the instance list marks their holder as gone, or
/// never, and against a replacement process at the same address that does not serve.
#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_loses_its_slots_only_when_gone() {
    let mut fleet = FleetBuilder::default().processes(DAEMON).start().await;
    let domain = fleet.settings[LAGOS].instance.domain.clone();
    let count_held = |slots: &[hawthornquay_decisions::InstanceId]| {
        slots
            .iter()
            .filter(|id| id.name.as_str() == "lagos-1")
            .count()
    };
    let before = fleet.slots(&domain).await;
    assert!(count_held(&before) > 0, "{before:?}");
    let mut process = fleet.processes[LAGOS].take().unwrap();
    process.signal(Signal::KILL);
    process.wait(Duration::from_secs(5)).await;
    // Longer than the lag of the instance list plus the longest loan. Both start to count only when
    // the instance is marked as gone.
    let hold_until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < hold_until {
        assert_eq!(
            fleet.slots(&domain).await,
            before,
            "slots were taken over too early"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.list_instance(LAGOS, InstanceState::Gone);
    let marked_gone = Instant::now();
    while count_held(&fleet.slots(&domain).await) > 0 {
        assert!(
            marked_gone.elapsed() < Duration::from_secs(15),
            "slots were not taken over within 15 s"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("slots taken over {:?} after gone", marked_gone.elapsed());

    fleet.list_instance(LAGOS, InstanceState::Live);
    fleet.start_process(DAEMON.as_ref(), LAGOS).await;
    fleet.wait_processes_ready(Duration::from_secs(10)).await;
    let caller = Caller::new(Some("key-kolanut"));
    let started = Instant::now();
    loop {
        let response = caller.chat(fleet.callers(LAGOS), "again", 4, false).await;
        if response.status == StatusCode::OK {
            break;
        }
        assert_eq!(response.execution(), "not-run", "{}", response.text());
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "{}",
            response.text()
        );
    }
    println!("replacement instance serves after {:?}", started.elapsed());
}
