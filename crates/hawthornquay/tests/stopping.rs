//! Instances that stop, are killed or are replaced, as real processes.

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
const POLL: Duration = Duration::from_millis(20);

/// Guards against a graceful stop that cuts off an answer, lies about a refusal, keeps its slots or
/// never ends.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_what_is_in_flight_and_hands_back_slots() {
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
                let answer = caller.chat(to, &nonce, 200, true).await;
                (nonce, answer)
            });
        }
        let (caller, to) = (caller.clone(), fleet.callers(KANO));
        calls.spawn(async move {
            let nonce = format!("book{number}");
            let answer = caller.book(to, None, &nonce).await;
            (nonce, answer)
        });
    }
    let in_flight = Instant::now() + Duration::from_secs(5);
    while fleet.engines[0].counters().started < 8 || fleet.service.runs().len() < 4 {
        assert!(Instant::now() < in_flight, "not all requests run");
        tokio::time::sleep(POLL).await;
    }
    let mut process = fleet.processes[KANO].take().unwrap();
    process.signal(Signal::TERM);
    let (to, late) = (fleet.callers(KANO), Caller::new(Some("key-kolanut")));
    let mut refused = 0;
    while refused < 3 {
        let answer = late.chat(to, "late", 2, false).await;
        if answer.status == StatusCode::OK {
            assert_eq!(refused, 0, "accepted after a refusal");
            continue;
        }
        assert_eq!(answer.code(), "shutting-down", "{}", answer.text());
        assert_eq!(answer.execution(), "not-run", "{}", answer.text());
        refused += 1;
    }
    let started = fleet.engines[0].counters().started;
    // Only the stopping instance reaches the engine.
    let forwarded = late
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
        "new work was forwarded"
    );
    for (nonce, answer) in calls.join_all().await {
        let text = answer.text();
        assert_eq!(answer.status, StatusCode::OK, "{nonce}: {text}");
        assert!(text.contains(&nonce), "{nonce}: {text}");
        if nonce.starts_with("stream") {
            assert!(text.contains("[DONE]"), "{nonce} is cut off");
        }
    }
    let status = process.wait(Duration::from_secs(20)).await;
    assert!(status.success(), "{status}");
    let body = support::chat_body("late", 2, false);
    let path = "/v1/chat/completions";
    let sent = late.send(to, http::Method::POST, path, &[], body).await;
    assert!(
        sent.is_err_and(|error| error.is_connect()),
        "connected after the end"
    );
    let domain = &fleet.settings[KANO].instance.domain;
    assert_eq!(fleet.slots(domain).await, [], "slots not handed back");
}

/// Guards against slots that move before the list says that their holder is gone, or never move,
/// and against a new process at the same address that does not serve.
#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_loses_its_slots_only_when_gone() {
    let mut fleet = FleetBuilder::default().processes(DAEMON).start().await;
    let domain = fleet.settings[LAGOS].instance.domain.clone();
    let held = |slots: &[hawthornquay_decisions::InstanceId]| {
        slots
            .iter()
            .filter(|id| id.name.as_str() == "lagos-1")
            .count()
    };
    let before = fleet.slots(&domain).await;
    assert!(held(&before) > 0, "{before:?}");
    let mut process = fleet.processes[LAGOS].take().unwrap();
    process.signal(Signal::KILL);
    process.wait(Duration::from_secs(5)).await;
    // Longer than the lag of the list and the longest loan, which only count once it is gone.
    let not_before = Instant::now() + Duration::from_secs(6);
    while Instant::now() < not_before {
        assert_eq!(fleet.slots(&domain).await, before, "slots moved");
        tokio::time::sleep(POLL).await;
    }
    fleet.list_instance(LAGOS, InstanceState::Gone);
    let gone = Instant::now();
    while held(&fleet.slots(&domain).await) > 0 {
        assert!(
            gone.elapsed() < Duration::from_secs(15),
            "slots not taken over"
        );
        tokio::time::sleep(POLL).await;
    }
    println!("slots taken over {:?} after gone", gone.elapsed());

    fleet.list_instance(LAGOS, InstanceState::Live);
    fleet.start_process(DAEMON.as_ref(), LAGOS).await;
    fleet.wait_processes_ready(Duration::from_secs(10)).await;
    let caller = Caller::new(Some("key-kolanut"));
    let started = Instant::now();
    loop {
        let answer = caller.chat(fleet.callers(LAGOS), "again", 4, false).await;
        if answer.status == StatusCode::OK {
            break;
        }
        assert_eq!(answer.execution(), "not-run", "{}", answer.text());
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "{}",
            answer.text()
        );
    }
    println!("replaced instance answers after {:?}", started.elapsed());
}
