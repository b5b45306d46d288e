//! Concurrent streamed responses, with callers that disconnect and engines that fail.

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
const END_OF_STREAM: &str = "data: [DONE]";

/// How a request ended for its caller, and the request with its instance if its response started.
type RequestEnd = (End, Option<(usize, RequestId)>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Broken,
    /// The caller disconnected before the end of the response.
    CallerLeft,
    Refused,
}

/// Guards against bytes of another request's response, against an interrupted response that appears
/// complete, and against reservations and load that are never released.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_under_faults_are_not_mixed_and_are_settled() {
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
    let completed = Arc::new(AtomicUsize::new(0));
    let faults = tokio::spawn(change_faults(Arc::clone(&fleet), Arc::clone(&completed)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            tokio::spawn(read_responses(
                Arc::clone(&fleet),
                worker,
                Arc::clone(&completed),
            ))
        })
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
    let count = |end| ends.iter().filter(|other| **other == end).count();
    eprintln!(
        "{} complete, {} broken, {} left by their callers, {} refused",
        count(End::Complete),
        count(End::Broken),
        count(End::CallerLeft),
        count(End::Refused),
    );
    for end in [End::Complete, End::Broken, End::CallerLeft] {
        assert!(count(end) > 10, "too few responses end {end:?}");
    }
    check_released(&fleet, &started).await;
}

/// Guards against a forwarded response that stays open at the receiving instance after the caller
/// has disconnected, because the engine sends no further data.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_during_engine_stall_frees_the_receiver() {
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
    let response = caller.send(fleet.callers(0), Method::POST, CHAT_PATH, &[], body);
    let mut body = response.await.unwrap().into_body().into_data_stream();
    // Reads up to the last token before the engine stalls. A later token would let the receiver
    // detect the disconnect when it writes.
    let mut text = String::new();
    while !text.contains(" t2") {
        text += std::str::from_utf8(&body.next().await.unwrap().unwrap()).unwrap();
    }
    assert_eq!(
        fleet.in_flight(),
        2,
        "the request is not in flight at two instances"
    );
    drop(body);
    let limit = Duration::from_secs(5);
    wait_until(limit, "end of the request at both instances", || {
        fleet.in_flight() == 0
    })
    .await;
    wait_until(limit, "idle engine", || {
        fleet.engines[0].load().running == 0
    })
    .await;
}

/// Guards against a forwarded response that appears complete although its link was lost midway.
#[tokio::test(flavor = "multi_thread")]
async fn stream_over_lost_link_ends_with_error() {
    let fleet = FleetBuilder::default()
        .engine_domains(&["kano-a"])
        .fault_relays()
        .start()
        .await;
    let caller = Caller::new(Some("key-kolanut"));
    for fault in [RelayFault::Cut, RelayFault::DropToClient] {
        // The token bucket of a new slot holder starts empty, so the first requests may be refused.
        let end = Instant::now() + Duration::from_secs(10);
        let response = loop {
            let body = chat_body("lost", 5_000, true);
            let response = caller.send(fleet.callers(0), Method::POST, CHAT_PATH, &[], body);
            let response = response.await.unwrap();
            if response.status() == StatusCode::OK {
                break response;
            }
            assert!(
                Instant::now() < end,
                "status {} before {fault:?}",
                response.status()
            );
        };
        let mut body = response.into_body().into_data_stream();
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

/// Asserts that all resources are released: no request is in flight, no engine is busy, the
/// reservation of each started response was settled once, and no load is counted.
async fn check_released(fleet: &Fleet, started: &[(usize, RequestId)]) {
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
    // A load guard that is never dropped would keep its server busy, or in back-off, for good.
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + limit;
    while !(0..fleet.daemons.len()).all(|index| has_no_load(fleet, index)) {
        assert!(Instant::now() < end, "load is still counted");
        for index in 0..fleet.daemons.len() {
            caller.chat(fleet.callers(index), "probe", 1, false).await;
        }
    }
}

/// Returns whether an instance estimates no load at any engine of its failure domain.
fn has_no_load(fleet: &Fleet, index: usize) -> bool {
    let node = fleet.node(index);
    let bundle = node.bundle.active().unwrap();
    let routing = node.routing.lock();
    let servers = bundle.bundle().backends.values();
    let engines = servers.filter(|server| {
        server.domain == node.location.domain
            && matches!(server.kind, BackendKind::ModelEngine { .. })
    });
    engines
        .map(|server| LoadKey::Backend(server.name.clone()))
        .all(|key| match routing.view.state(&key, clock_now()) {
            LoadState::Available(estimate) => estimate.occupied == 0.0,
            _ => false,
        })
}

/// Returns the current time of the clock that the instances use.
fn clock_now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    MonotonicTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Sends the requests of one worker one after the other and returns how each ended.
async fn read_responses(
    fleet: Arc<Fleet>,
    worker: usize,
    completed: Arc<AtomicUsize>,
) -> Vec<RequestEnd> {
    let mut rng = StdRng::seed_from_u64(SEED + 1 + worker as u64);
    let caller = Caller::new(Some("key-kolanut"));
    let mut ends = Vec::new();
    for request in 0..REQUESTS_PER_WORKER {
        let nonce = format!("w{worker}r{request}e");
        let instance = rng.random_range(0..3);
        let leave_after_frames = rng.random_bool(0.3).then(|| rng.random_range(0..20));
        let tokens = rng.random_range(1..60);
        ends.push(
            read_response(
                &caller,
                &fleet,
                instance,
                &nonce,
                tokens,
                leave_after_frames,
            )
            .await,
        );
        completed.fetch_add(1, Ordering::SeqCst);
    }
    ends
}

/// Sends one streamed request, checks its response, and disconnects after `leave_after_frames`
/// frames if set.
async fn read_response(
    caller: &Caller,
    fleet: &Fleet,
    instance: usize,
    nonce: &str,
    tokens: u64,
    leave_after_frames: Option<usize>,
) -> RequestEnd {
    let body = chat_body(nonce, tokens, true);
    let headers = [("x-deadline-ms", "3000")];
    let to = fleet.callers(instance);
    let response = caller.send(to, Method::POST, CHAT_PATH, &headers, body);
    let Ok(response) = response.await else {
        return (End::Broken, None);
    };
    if response.status() != StatusCode::OK {
        return (End::Refused, None);
    }
    let id = RequestId::new(response.headers()["x-request-id"].to_str().unwrap());
    let started = Some((instance, id));
    let mut text = String::new();
    let mut frames = 0;
    let mut body = response.into_body().into_data_stream();
    loop {
        if leave_after_frames == Some(frames) {
            check_nonces(&text, nonce);
            return (End::CallerLeft, started);
        }
        frames += 1;
        // The caller disconnects if a stalled engine sends nothing for 700 ms.
        let Ok(part) = tokio::time::timeout(Duration::from_millis(700), body.next()).await else {
            check_nonces(&text, nonce);
            return (End::CallerLeft, started);
        };
        match part {
            Some(Ok(data)) => text += std::str::from_utf8(&data).unwrap(),
            Some(Err(_)) => {
                check_nonces(&text, nonce);
                return (End::Broken, started);
            }
            None => break,
        }
    }
    check_nonces(&text, nonce);
    assert!(
        text.contains(END_OF_STREAM),
        "an interrupted response appears complete: {text}"
    );
    let events = text.matches("nonce=").count() as u64;
    assert!(events > 0, "{text}");
    (End::Complete, started)
}

/// Asserts that each nonce in the text is the one of the caller's request.
fn check_nonces(text: &str, nonce: &str) {
    for part in text.split("nonce=").skip(1) {
        assert!(
            part.starts_with(nonce),
            "a nonce other than {nonce}: {text}"
        );
    }
}

/// Changes one fault after every [`REQUESTS_PER_FAULT`] requests, so that the schedule does not
/// depend on the speed of the machine.
async fn change_faults(fleet: Arc<Fleet>, completed: Arc<AtomicUsize>) {
    let mut rng = StdRng::seed_from_u64(SEED);
    for round in 1.. {
        wait_until(Duration::from_secs(20), "completed requests", || {
            completed.load(Ordering::SeqCst) >= round * REQUESTS_PER_FAULT
        })
        .await;
        if rng.random_bool(0.7) {
            let engine = rng.random_range(0..fleet.engines.len());
            fleet.engines[engine].set_faults(engine_faults(&mut rng));
        } else {
            let relay = rng.random_range(0..fleet.link_relays.len());
            fleet.link_relays[relay].set_fault(match rng.random_range(0..5) {
                0 => RelayFault::Cut,
                1 => RelayFault::DropToClient,
                2 => RelayFault::DropToServer,
                _ => RelayFault::None,
            });
        }
    }
}

fn engine_faults(rng: &mut StdRng) -> EngineFaults {
    let after = Some(rng.random_range(0..40));
    match rng.random_range(0..4) {
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
