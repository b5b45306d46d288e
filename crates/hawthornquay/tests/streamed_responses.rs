//! Many streamed answers at once, with callers that leave and engines that fail.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::StreamExt;
use hawthornquay_decisions::{BackendKind, LoadKey, LoadState, MonotonicTime, RequestId};
use hawthornquay_standins::{EngineFaults, EngineSettings};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::time::{ClockId, clock_gettime};
use support::{Caller, Fleet, FleetBuilder, RelayFault, chat_body, wait_until};
use tokio::time::Instant;

const SEED: u64 = 0x6b6f_6c61_6e75_7402;
const WORKERS: usize = 96;
const REQUESTS_PER_WORKER: usize = 9;
const REQUESTS_PER_FAULT: usize = 48;
const CHAT_PATH: &str = "/v1/chat/completions";
const END_MARK: &str = "data: [DONE]";

/// How a caller saw its request end, and the request if its answer started.
type Seen = (End, Option<(usize, RequestId)>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Left,
    Refused,
}

/// Guards against bytes of another request's answer, against a broken answer that looks whole, and
/// against reservations and load that are never given back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_under_failures_stay_apart_and_are_settled() {
    eprintln!("seed {SEED:#x}");
    let engine = EngineSettings {
        slots: 32,
        decode_ms: 1,
        prefill_tokens_per_s: 1_000_000,
        ..EngineSettings::default()
    };
    let fleet = FleetBuilder::default()
        .engine(engine)
        .engine_domains(&["lagos-a", "lagos-a", "kano-a"])
        .fault_relays()
        .start()
        .await;
    let fleet = Arc::new(fleet);
    let done = Arc::new(AtomicUsize::new(0));
    let faults = tokio::spawn(change_faults(Arc::clone(&fleet), Arc::clone(&done)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| tokio::spawn(read_answers(Arc::clone(&fleet), worker, Arc::clone(&done))))
        .collect();
    let mut ends = Vec::new();
    let mut started = Vec::new();
    for worker in workers {
        for (end, id) in worker.await.unwrap() {
            ends.push(end);
            started.extend(id);
        }
    }
    faults.abort();
    let _ = faults.await;
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults::default());
    }
    for relay in &fleet.link_relays {
        relay.set_fault(RelayFault::None);
    }
    let count = |end| ends.iter().filter(|seen| **seen == end).count();
    eprintln!(
        "{} whole, {} broken, {} left early, {} refused",
        count(End::Whole),
        count(End::Broken),
        count(End::Left),
        count(End::Refused),
    );
    for end in [End::Whole, End::Broken, End::Left] {
        assert!(count(end) > 10, "too few answers end {end:?}");
    }
    check_returned(&fleet, &started).await;
}

/// Guards against a forwarded answer that stays open at the receiver after the caller has left,
/// because its engine is silent.
#[tokio::test(flavor = "multi_thread")]
async fn stream_caller_leaves_silent_engine_frees_the_receiver() {
    let fleet = FleetBuilder::default()
        .engine_domains(&["kano-a"])
        .start()
        .await;
    fleet.engines[0].set_faults(EngineFaults {
        silent_after_tokens: Some(3),
        ..EngineFaults::default()
    });
    let caller = Caller::new(Some("key-kolanut"));
    let body = chat_body("left", 50, true);
    let answer = caller.send(fleet.callers(0), Method::POST, CHAT_PATH, &[], body);
    let mut body = answer.await.unwrap().into_body().into_data_stream();
    // Reads up to the last token before the silence, so that no later one shows the receiver that
    // nobody reads.
    let mut text = String::new();
    while !text.contains(" t2") {
        text += std::str::from_utf8(&body.next().await.unwrap().unwrap()).unwrap();
    }
    assert_eq!(fleet.in_flight(), 2, "the request was not forwarded");
    drop(body);
    let limit = Duration::from_secs(5);
    wait_until(limit, "end at both instances", || fleet.in_flight() == 0).await;
    wait_until(limit, "an idle engine", || {
        fleet.engines[0].load().running == 0
    })
    .await;
}

/// Guards against a forwarded answer that looks whole although its link was lost midway.
#[tokio::test(flavor = "multi_thread")]
async fn stream_link_lost_midway_is_broken() {
    let fleet = FleetBuilder::default()
        .engine_domains(&["kano-a"])
        .fault_relays()
        .start()
        .await;
    let caller = Caller::new(Some("key-kolanut"));
    for fault in [RelayFault::Cut, RelayFault::DropToClient] {
        // A new slot holder's bucket begins empty, so the first tries may be refused.
        let end = Instant::now() + Duration::from_secs(10);
        let answer = loop {
            let body = chat_body("lost", 5_000, true);
            let answer = caller.send(fleet.callers(0), Method::POST, CHAT_PATH, &[], body);
            let answer = answer.await.unwrap();
            if answer.status() == StatusCode::OK {
                break answer;
            }
            assert!(Instant::now() < end, "{} before {fault:?}", answer.status());
        };
        let mut body = answer.into_body().into_data_stream();
        assert!(body.next().await.unwrap().is_ok());
        fleet.link_relays[2].set_fault(fault);
        let last = loop {
            match body.next().await {
                Some(Ok(_)) => {}
                last => break last,
            }
        };
        assert!(matches!(last, Some(Err(_))), "after {fault:?}: {last:?}");
        fleet.link_relays[2].set_fault(RelayFault::None);
    }
}

/// Every guard of the requests is gone: nothing is in flight, no engine is busy, each reservation
/// of a started answer was settled, and no load is counted.
async fn check_returned(fleet: &Fleet, started: &[(usize, RequestId)]) {
    let limit = Duration::from_secs(10);
    wait_until(limit, "end of all requests", || fleet.in_flight() == 0).await;
    wait_until(limit, "idle engines", || {
        let mut loads = fleet.engines.iter().map(|engine| engine.load());
        loads.all(|load| load.running == 0 && load.waiting == 0)
    })
    .await;
    for (instance, id) in started {
        let outcome = fleet.node(*instance).requests.explain(id).unwrap();
        let settled = outcome
            .decisions
            .iter()
            .filter(|text| text.contains("settled"));
        assert_eq!(settled.count(), 1, "{outcome:?}");
        assert!(outcome.finished, "{outcome:?}");
    }
    // A load guard that is never dropped keeps its server busy or backing off for good.
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + limit;
    while !(0..fleet.daemons.len()).all(|index| is_free(fleet, index)) {
        assert!(Instant::now() < end, "load is still counted");
        for index in 0..fleet.daemons.len() {
            caller.chat(fleet.callers(index), "probe", 1, false).await;
        }
    }
}

/// Returns whether an instance counts no load on the engines of its domain.
fn is_free(fleet: &Fleet, index: usize) -> bool {
    let node = fleet.node(index);
    let bundle = node.bundle.active().unwrap();
    let routing = node.routing.lock();
    let servers = bundle.bundle().backends.values();
    let engines = servers.filter(|server| {
        server.domain == node.place.domain && matches!(server.kind, BackendKind::ModelEngine { .. })
    });
    engines
        .map(|server| LoadKey::Backend(server.name.clone()))
        .all(|key| match routing.view.state(&key, clock_now()) {
            LoadState::Available(estimate) => estimate.occupied == 0.0,
            _ => false,
        })
}

/// Reads the clock that the instances use.
fn clock_now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    MonotonicTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

async fn read_answers(fleet: Arc<Fleet>, worker: usize, done: Arc<AtomicUsize>) -> Vec<Seen> {
    let mut random = StdRng::seed_from_u64(SEED + 1 + worker as u64);
    let caller = Caller::new(Some("key-kolanut"));
    let mut ends = Vec::new();
    for request in 0..REQUESTS_PER_WORKER {
        let nonce = format!("w{worker}r{request}e");
        let instance = random.random_range(0..3);
        let leave_after = random.random_bool(0.3).then(|| random.random_range(0..20));
        let tokens = random.random_range(1..60);
        ends.push(read_response(&caller, &fleet, instance, &nonce, tokens, leave_after).await);
        done.fetch_add(1, Ordering::SeqCst);
    }
    ends
}

async fn read_response(
    caller: &Caller,
    fleet: &Fleet,
    instance: usize,
    nonce: &str,
    tokens: u64,
    leave_after: Option<usize>,
) -> Seen {
    let body = chat_body(nonce, tokens, true);
    let headers = [("x-deadline-ms", "3000")];
    let to = fleet.callers(instance);
    let answer = caller.send(to, Method::POST, CHAT_PATH, &headers, body);
    let Ok(answer) = answer.await else {
        return (End::Broken, None);
    };
    if answer.status() != StatusCode::OK {
        return (End::Refused, None);
    }
    let id = RequestId::new(answer.headers()["x-request-id"].to_str().unwrap());
    let started = Some((instance, id));
    let mut text = String::new();
    let mut frames = 0;
    let mut body = answer.into_body().into_data_stream();
    loop {
        if leave_after == Some(frames) {
            check_own(&text, nonce);
            return (End::Left, started);
        }
        frames += 1;
        // An engine that fell silent keeps its caller waiting, who then leaves.
        let Ok(part) = tokio::time::timeout(Duration::from_millis(700), body.next()).await else {
            check_own(&text, nonce);
            return (End::Left, started);
        };
        match part {
            Some(Ok(data)) => text += std::str::from_utf8(&data).unwrap(),
            Some(Err(_)) => {
                check_own(&text, nonce);
                return (End::Broken, started);
            }
            None => break,
        }
    }
    check_own(&text, nonce);
    assert!(
        text.contains(END_MARK),
        "a broken answer looks whole: {text}"
    );
    let events = text.matches("nonce=").count() as u64;
    assert!(events > 0, "{text}");
    (End::Whole, started)
}

/// Every nonce in the text is the caller's own.
fn check_own(text: &str, nonce: &str) {
    for part in text.split("nonce=").skip(1) {
        assert!(
            part.starts_with(nonce),
            "another answer than {nonce}: {text}"
        );
    }
}

async fn change_faults(fleet: Arc<Fleet>, done: Arc<AtomicUsize>) {
    let mut random = StdRng::seed_from_u64(SEED);
    for round in 1.. {
        wait_until(Duration::from_secs(20), "answers", || {
            done.load(Ordering::SeqCst) >= round * REQUESTS_PER_FAULT
        })
        .await;
        if random.random_bool(0.7) {
            let engine = random.random_range(0..fleet.engines.len());
            fleet.engines[engine].set_faults(engine_faults(&mut random));
        } else {
            let relay = random.random_range(0..fleet.link_relays.len());
            fleet.link_relays[relay].set_fault(match random.random_range(0..5) {
                0 => RelayFault::Cut,
                1 => RelayFault::DropToClient,
                2 => RelayFault::DropToServer,
                _ => RelayFault::None,
            });
        }
    }
}

fn engine_faults(random: &mut StdRng) -> EngineFaults {
    let after = Some(random.random_range(0..40));
    match random.random_range(0..4) {
        0 => EngineFaults {
            break_after_tokens: after,
            ..EngineFaults::default()
        },
        1 => EngineFaults {
            silent_after_tokens: after,
            ..EngineFaults::default()
        },
        _ => EngineFaults::default(),
    }
}
