//! Service calls under failures of servers, links and the store.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hawthornquay_standins::{AfterRun, PlatformFaults, ServiceFaults};
use http::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use support::{Caller, Fleet, FleetBuilder, RelayFault, wait_until};
use tokio::time::Instant;

const BOOKINGS: &str = "/v1/services/bookings";

const SEED: u64 = 0x6b6f_6c61_6e75_7401;
const WORKERS: usize = 96;
const BOOKINGS_PER_WORKER: usize = 16;
const SENDS_PER_BOOKING: usize = 3;

/// Further tries of a case of the table whose request did not meet the fault.
const TABLE_RETRIES: usize = 6;

/// Calls between two changes of the faults.
const CALLS_PER_FAULT: usize = 32;

#[derive(Debug)]
struct Sent {
    key: Option<String>,
    nonce: String,
    id: String,
    status: StatusCode,
    code: String,
    execution: String,
    body: Value,
}

/// Guards against a payment that runs twice, a `not-run` that is false, a `ran` that is false, and
/// an answer of another request, while servers, links and the store fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn service_calls_under_failures_run_at_most_once() {
    eprintln!("seed {SEED:#x}");
    let fleet = FleetBuilder::default()
        .extra_services(&["lagos-a", "lagos-a"])
        .fault_relays()
        .start()
        .await;
    let fleet = Arc::new(fleet);
    let done = Arc::new(AtomicUsize::new(0));
    let faults = tokio::spawn(change_faults(Arc::clone(&fleet), Arc::clone(&done)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| tokio::spawn(send_bookings(Arc::clone(&fleet), worker, Arc::clone(&done))))
        .collect();
    let mut sent = Vec::new();
    for worker in workers {
        sent.extend(worker.await.unwrap());
    }
    faults.abort();
    let _ = faults.await;
    settle(&fleet).await;
    check(&sent, &fleet.runs());
}

/// What the table below breaks, and where.
#[derive(Clone, Copy, Debug)]
enum Broken {
    Service(AfterRun),
    ServicePath(RelayFault),
    Links(RelayFault),
}

/// Guards against one failure that is reported as `not-run` although the request ran, or that hides
/// a `not-run` which is known, directly and through another instance.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_each_failure_has_its_execution() {
    let fleet = FleetBuilder::default().fault_relays().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    let cases = [
        (Broken::Service(AfterRun::Break), "unknown", Some(1)),
        (Broken::Service(AfterRun::Silent), "unknown", Some(1)),
        (Broken::ServicePath(RelayFault::Refuse), "not-run", Some(0)),
        (Broken::ServicePath(RelayFault::Hold), "unknown", None),
        (
            Broken::ServicePath(RelayFault::DropToServer),
            "unknown",
            Some(0),
        ),
        (
            Broken::ServicePath(RelayFault::DropToClient),
            "unknown",
            Some(1),
        ),
        (Broken::Links(RelayFault::DropToServer), "unknown", Some(0)),
        (Broken::Links(RelayFault::DropToClient), "unknown", Some(1)),
        (Broken::Links(RelayFault::Hold), "unknown", None),
    ];
    for instance in [0, 2] {
        for (broken, execution, runs) in cases {
            if instance == 0 && matches!(broken, Broken::Links(_)) {
                continue;
            }
            let mut sent = send_under(&caller, &fleet, instance, broken).await;
            // A request that was kept waiting until its deadline did not meet the fault.
            for _ in 0..TABLE_RETRIES {
                if sent.execution == execution {
                    break;
                }
                assert_eq!(sent.code, "deadline-exceeded", "{broken:?}: {sent:?}");
                assert_eq!(
                    fleet.runs().get(&sent.id),
                    None,
                    "a false not-run: {sent:?}"
                );
                sent = send_under(&caller, &fleet, instance, broken).await;
            }
            assert_eq!(
                sent.execution, execution,
                "{broken:?} at {instance}: {sent:?}"
            );
            let Some(expected) = runs else { continue };
            let ran = || fleet.runs().get(&sent.id).copied().unwrap_or_default() == expected;
            let what = format!("{expected} runs after {broken:?} at {instance}");
            wait_until(Duration::from_secs(5), &what, ran).await;
        }
    }
}

async fn send_under(caller: &Caller, fleet: &Fleet, instance: usize, broken: Broken) -> Sent {
    wait_for_bookings(caller, fleet, instance).await;
    match broken {
        Broken::Service(after_run) => fleet.service.set_faults(ServiceFaults {
            after_run,
            ..ServiceFaults::default()
        }),
        Broken::ServicePath(fault) => fleet.service_relays[0].set_fault(fault),
        Broken::Links(fault) => fleet.link_relays.iter().for_each(|relay| {
            relay.set_fault(fault);
        }),
    }
    let sent = send_booking(caller, fleet, instance, None, "table", "1000").await;
    end_faults(fleet);
    sent
}

/// Sends until bookings succeed again, often enough that the instance has used its links, and less
/// often than one capacity grant allows, so that the next request needs no new one.
async fn wait_for_bookings(caller: &Caller, fleet: &Fleet, instance: usize) {
    let end = Instant::now() + Duration::from_secs(20);
    let mut succeeded = 0;
    while succeeded < 5 {
        assert!(
            Instant::now() < end,
            "bookings fail after the fault has ended"
        );
        let sent = send_booking(caller, fleet, instance, None, "before", "1000").await;
        succeeded = if sent.status == StatusCode::OK {
            succeeded + 1
        } else {
            0
        };
    }
}

async fn send_bookings(fleet: Arc<Fleet>, worker: usize, done: Arc<AtomicUsize>) -> Vec<Sent> {
    let mut random = StdRng::seed_from_u64(SEED + 1 + worker as u64);
    let caller = Caller::new(Some("key-kolanut"));
    let mut sent = Vec::new();
    for booking in 0..BOOKINGS_PER_WORKER {
        let nonce = format!("n{worker}x{booking}");
        let mut instance = random.random_range(0..3);
        let key = match random.random_range(0..10) {
            0..3 => None,
            3..7 => Some(format!("own-{nonce}")),
            _ => issue_key(&caller, &fleet, instance).await,
        };
        for _ in 0..SENDS_PER_BOOKING {
            sent.push(send_booking(&caller, &fleet, instance, key.as_deref(), &nonce, "300").await);
            done.fetch_add(1, Ordering::SeqCst);
            if random.random_bool(0.7) {
                instance = random.random_range(0..3);
            }
        }
    }
    sent
}

async fn issue_key(caller: &Caller, fleet: &Fleet, instance: usize) -> Option<String> {
    let to = fleet.callers(instance);
    let path = "/v1/idempotency-keys";
    let answer = caller.call(to, Method::POST, path, &[], "").await;
    answer.json()["idempotency_key"].as_str().map(str::to_owned)
}

async fn send_booking(
    caller: &Caller,
    fleet: &Fleet,
    instance: usize,
    key: Option<&str>,
    nonce: &str,
    deadline_ms: &str,
) -> Sent {
    let mut headers = vec![("x-deadline-ms", deadline_ms)];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let to = fleet.callers(instance);
    let body = json!({"nonce": nonce}).to_string();
    let answer = caller
        .call(to, Method::POST, BOOKINGS, &headers, body)
        .await;
    Sent {
        key: key.map(str::to_owned),
        nonce: nonce.to_owned(),
        id: answer.request_id(),
        status: answer.status,
        code: answer.code(),
        execution: answer.execution(),
        body: answer.json(),
    }
}

/// Changes one fault after each few calls, so that the schedule follows the calls and not a clock.
async fn change_faults(fleet: Arc<Fleet>, done: Arc<AtomicUsize>) {
    let mut random = StdRng::seed_from_u64(SEED);
    for round in 1.. {
        wait_until(Duration::from_secs(20), "calls", || {
            done.load(Ordering::SeqCst) >= round * CALLS_PER_FAULT
        })
        .await;
        if random.random_bool(0.5) {
            end_faults(&fleet);
        }
        match random.random_range(0..4) {
            0 => set_service_faults(&fleet, &mut random),
            1 => {
                let relays = &fleet.service_relays;
                relays[random.random_range(0..relays.len())].set_fault(relay_fault(&mut random));
            }
            2 => {
                let relays = &fleet.link_relays;
                relays[random.random_range(0..relays.len())].set_fault(relay_fault(&mut random));
            }
            _ => fleet.platform.set_faults(PlatformFaults {
                outage: random.random_bool(0.25),
                lose_answers: random.random_range(0..8),
                ..PlatformFaults::default()
            }),
        }
    }
}

fn set_service_faults(fleet: &Fleet, random: &mut StdRng) {
    let faults = ServiceFaults {
        delay_ms: random.random_range(0..20),
        after_run: match random.random_range(0..6) {
            0 => AfterRun::Break,
            1 => AfterRun::Silent,
            2 => AfterRun::Fail,
            _ => AfterRun::Answer,
        },
        leaving: random.random_bool(0.1),
    };
    match random.random_range(0..3) {
        0 => fleet.service.set_faults(faults),
        service => fleet.extra_services[service - 1].set_faults(faults),
    }
}

fn relay_fault(random: &mut StdRng) -> RelayFault {
    match random.random_range(0..8) {
        0 => RelayFault::DropToServer,
        1 => RelayFault::DropToClient,
        2 => RelayFault::Hold,
        3 => RelayFault::Cut,
        4 => RelayFault::Refuse,
        _ => RelayFault::None,
    }
}

fn end_faults(fleet: &Fleet) {
    fleet.platform.set_faults(PlatformFaults::default());
    let services = [&fleet.service].into_iter().chain(&fleet.extra_services);
    services.for_each(|service| service.set_faults(ServiceFaults::default()));
    for relay in fleet.service_relays.iter().chain(&fleet.link_relays) {
        relay.set_fault(RelayFault::None);
    }
}

/// Ends all faults, so that what was held arrives, and waits until nothing more happens.
async fn settle(fleet: &Fleet) {
    end_faults(fleet);
    let mut seen = (0, 0);
    let mut unchanged = 0;
    wait_until(Duration::from_secs(10), "end of all runs", || {
        let moved = fleet
            .service_relays
            .iter()
            .map(|relay| relay.bytes_read())
            .sum();
        let now = (fleet.runs().len() as u64, moved);
        unchanged = if now == seen { unchanged + 1 } else { 0 };
        seen = now;
        fleet.in_flight() == 0 && unchanged >= 30
    })
    .await;
}

fn check(sent: &[Sent], runs: &BTreeMap<String, u64>) {
    let mut kinds = BTreeMap::<String, usize>::new();
    let mut runs_of_key = BTreeMap::<&str, u64>::new();
    for call in sent {
        let count = runs.get(&call.id).copied().unwrap_or_default();
        assert!(count <= 1, "ran {count} times: {call:?}");
        if let Some(key) = &call.key {
            *runs_of_key.entry(key).or_default() += count;
        }
        if call.execution == "not-run" {
            assert_eq!(count, 0, "a false not-run: {call:?}");
        }
        if call.status == StatusCode::OK {
            assert_eq!(call.body["nonce"], call.nonce, "a crossed answer: {call:?}");
            assert_eq!(call.body["request_id"], call.id, "{call:?}");
            assert_eq!(count, 1, "an answer without a run: {call:?}");
        }
        let kind = format!("{} {} {}", call.status.as_u16(), call.code, call.execution);
        *kinds.entry(kind).or_default() += 1;
    }
    for call in sent {
        let Some(key) = &call.key else { continue };
        let count = runs_of_key[key.as_str()];
        assert!(count <= 1, "the key {key} ran {count} times: {call:?}");
        if call.execution == "ran" {
            assert_eq!(count, 1, "a false ran: {call:?}");
        }
    }
    let known: BTreeSet<&str> = sent.iter().map(|call| call.id.as_str()).collect();
    assert!(runs.keys().all(|id| known.contains(id.as_str())));
    eprintln!("{} calls, {} runs: {kinds:#?}", sent.len(), runs.len());
    for execution in ["not-run", "unknown", "ran", ""] {
        let some = sent.iter().any(|call| call.execution == execution);
        assert!(some, "no answer with execution {execution:?}");
    }
}
