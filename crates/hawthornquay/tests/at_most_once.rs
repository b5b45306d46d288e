//! At-most-once execution of service calls under faults of servers, links and the store.

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

/// Repetitions of a fault case whose request reached its deadline before it met the fault.
const MAX_CASE_RETRIES: usize = 6;

/// Calls between two changes of the injected faults.
const CALLS_PER_FAULT: usize = 32;

/// Result of one call, as its caller received it.
#[derive(Debug)]
struct CallResult {
    idempotency_key: Option<String>,
    nonce: String,
    id: String,
    status: StatusCode,
    code: String,
    execution: String,
    body: Value,
}

/// Guards against payments that run twice, wrong `not-run` and `ran` reports, and responses of
/// other requests, while servers, links and the store fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn service_calls_under_faults_run_at_most_once() {
    eprintln!("seed {SEED:#x}");
    let fleet = FleetBuilder::default()
        .extra_services(&["lagos-a", "lagos-a"])
        .fault_relays()
        .start()
        .await;
    let fleet = Arc::new(fleet);
    let completed = Arc::new(AtomicUsize::new(0));
    let faults = tokio::spawn(change_faults(Arc::clone(&fleet), Arc::clone(&completed)));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            tokio::spawn(send_bookings(
                Arc::clone(&fleet),
                worker,
                Arc::clone(&completed),
            ))
        })
        .collect();
    let mut results = Vec::new();
    for worker in workers {
        results.extend(worker.await.unwrap());
    }
    faults.abort();
    let _ = faults.await;
    wait_until_idle(&fleet).await;
    check_executions(&results, &fleet.runs());
}

/// Fault of one case, and the place where it is injected.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    Service(AfterRun),
    ServicePath(RelayFault),
    Links(RelayFault),
}

/// Guards against failures reported as `not-run` although the request ran, and against failures
/// reported as `unknown` although the request is known not to have run. Covers direct and forwarded
/// calls.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_failure_reports_correct_execution() {
    let fleet = FleetBuilder::default().fault_relays().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    let cases = [
        (InjectedFault::Service(AfterRun::Break), "unknown", Some(1)),
        (InjectedFault::Service(AfterRun::Silent), "unknown", Some(1)),
        (
            InjectedFault::ServicePath(RelayFault::Refuse),
            "not-run",
            Some(0),
        ),
        (
            InjectedFault::ServicePath(RelayFault::Hold),
            "unknown",
            None,
        ),
        (
            InjectedFault::ServicePath(RelayFault::DropToServer),
            "unknown",
            Some(0),
        ),
        (
            InjectedFault::ServicePath(RelayFault::DropToClient),
            "unknown",
            Some(1),
        ),
        (
            InjectedFault::Links(RelayFault::DropToServer),
            "unknown",
            Some(0),
        ),
        (
            InjectedFault::Links(RelayFault::DropToClient),
            "unknown",
            Some(1),
        ),
        (InjectedFault::Links(RelayFault::Hold), "unknown", None),
    ];
    for instance in [0, 2] {
        for (fault, execution, runs) in cases {
            if instance == 0 && matches!(fault, InjectedFault::Links(_)) {
                continue;
            }
            let mut sent = send_with_fault(&caller, &fleet, instance, fault).await;
            // A request that waited until its deadline did not reach the fault.
            for _ in 0..MAX_CASE_RETRIES {
                if sent.execution == execution {
                    break;
                }
                assert_eq!(sent.code, "deadline-exceeded", "{fault:?}: {sent:?}");
                assert_eq!(
                    fleet.runs().get(&sent.id),
                    None,
                    "ran after not-run: {sent:?}"
                );
                sent = send_with_fault(&caller, &fleet, instance, fault).await;
            }
            assert_eq!(
                sent.execution, execution,
                "{fault:?} at {instance}: {sent:?}"
            );
            let Some(expected) = runs else { continue };
            let ran = || fleet.runs().get(&sent.id).copied().unwrap_or_default() == expected;
            let what = format!("{expected} runs after {fault:?} at {instance}");
            wait_until(Duration::from_secs(5), &what, ran).await;
        }
    }
}

/// Waits until bookings succeed, injects a fault, sends one booking and clears the fault.
async fn send_with_fault(
    caller: &Caller,
    fleet: &Fleet,
    instance: usize,
    fault: InjectedFault,
) -> CallResult {
    wait_for_bookings(caller, fleet, instance).await;
    match fault {
        InjectedFault::Service(after_run) => fleet.service.set_faults(ServiceFaults {
            after_run,
            ..ServiceFaults::default()
        }),
        InjectedFault::ServicePath(fault) => fleet.service_relays[0].set_fault(fault),
        InjectedFault::Links(fault) => fleet.link_relays.iter().for_each(|relay| {
            relay.set_fault(fault);
        }),
    }
    let sent = send_booking(caller, fleet, instance, None, "table", "1000").await;
    clear_faults(fleet);
    sent
}

/// Sends bookings until five in a row succeed. By then the instance has used its links, and its
/// capacity grant still covers the next request.
async fn wait_for_bookings(caller: &Caller, fleet: &Fleet, instance: usize) {
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut succeeded = 0;
    while succeeded < 5 {
        assert!(
            Instant::now() < deadline,
            "bookings still fail 20 s after the fault was cleared"
        );
        let sent = send_booking(caller, fleet, instance, None, "before", "1000").await;
        succeeded = if sent.status == StatusCode::OK {
            succeeded + 1
        } else {
            0
        };
    }
}

/// Sends the bookings of one worker, each [`SENDS_PER_BOOKING`] times to changing instances.
async fn send_bookings(
    fleet: Arc<Fleet>,
    worker: usize,
    completed: Arc<AtomicUsize>,
) -> Vec<CallResult> {
    let mut rng = StdRng::seed_from_u64(SEED + 1 + worker as u64);
    let caller = Caller::new(Some("key-kolanut"));
    let mut results = Vec::new();
    for booking in 0..BOOKINGS_PER_WORKER {
        let nonce = format!("n{worker}x{booking}");
        let mut instance = rng.random_range(0..3);
        let key = match rng.random_range(0..10) {
            0..3 => None,
            3..7 => Some(format!("own-{nonce}")),
            _ => issue_key(&caller, &fleet, instance).await,
        };
        for _ in 0..SENDS_PER_BOOKING {
            results
                .push(send_booking(&caller, &fleet, instance, key.as_deref(), &nonce, "300").await);
            completed.fetch_add(1, Ordering::SeqCst);
            if rng.random_bool(0.7) {
                instance = rng.random_range(0..3);
            }
        }
    }
    results
}

async fn issue_key(caller: &Caller, fleet: &Fleet, instance: usize) -> Option<String> {
    let to = fleet.callers(instance);
    let path = "/v1/idempotency-keys";
    let response = caller.call(to, Method::POST, path, &[], "").await;
    response.json()["idempotency_key"]
        .as_str()
        .map(str::to_owned)
}

async fn send_booking(
    caller: &Caller,
    fleet: &Fleet,
    instance: usize,
    idempotency_key: Option<&str>,
    nonce: &str,
    deadline_ms: &str,
) -> CallResult {
    let mut headers = vec![("x-deadline-ms", deadline_ms)];
    headers.extend(idempotency_key.map(|key| ("idempotency-key", key)));
    let to = fleet.callers(instance);
    let body = json!({"nonce": nonce}).to_string();
    let response = caller
        .call(to, Method::POST, BOOKINGS, &headers, body)
        .await;
    CallResult {
        idempotency_key: idempotency_key.map(str::to_owned),
        nonce: nonce.to_owned(),
        id: response.request_id(),
        status: response.status,
        code: response.code(),
        execution: response.execution(),
        body: response.json(),
    }
}

/// Changes one fault after every [`CALLS_PER_FAULT`] calls, so that the schedule does not depend on
/// the speed of the machine.
async fn change_faults(fleet: Arc<Fleet>, completed: Arc<AtomicUsize>) {
    let mut rng = StdRng::seed_from_u64(SEED);
    for round in 1.. {
        wait_until(Duration::from_secs(20), "completed calls", || {
            completed.load(Ordering::SeqCst) >= round * CALLS_PER_FAULT
        })
        .await;
        if rng.random_bool(0.5) {
            clear_faults(&fleet);
        }
        match rng.random_range(0..4) {
            0 => set_service_faults(&fleet, &mut rng),
            1 => {
                let relays = &fleet.service_relays;
                relays[rng.random_range(0..relays.len())].set_fault(relay_fault(&mut rng));
            }
            2 => {
                let relays = &fleet.link_relays;
                relays[rng.random_range(0..relays.len())].set_fault(relay_fault(&mut rng));
            }
            _ => fleet.platform.set_faults(PlatformFaults {
                outage: rng.random_bool(0.25),
                lose_answers: rng.random_range(0..8),
                ..PlatformFaults::default()
            }),
        }
    }
}

fn set_service_faults(fleet: &Fleet, rng: &mut StdRng) {
    let faults = ServiceFaults {
        delay_ms: rng.random_range(0..20),
        after_run: match rng.random_range(0..6) {
            0 => AfterRun::Break,
            1 => AfterRun::Silent,
            2 => AfterRun::Fail,
            _ => AfterRun::Answer,
        },
        leaving: rng.random_bool(0.1),
    };
    match rng.random_range(0..3) {
        0 => fleet.service.set_faults(faults),
        service => fleet.extra_services[service - 1].set_faults(faults),
    }
}

fn relay_fault(rng: &mut StdRng) -> RelayFault {
    match rng.random_range(0..8) {
        0 => RelayFault::DropToServer,
        1 => RelayFault::DropToClient,
        2 => RelayFault::Hold,
        3 => RelayFault::Cut,
        4 => RelayFault::Refuse,
        _ => RelayFault::None,
    }
}

fn clear_faults(fleet: &Fleet) {
    fleet.platform.set_faults(PlatformFaults::default());
    let services = [&fleet.service].into_iter().chain(&fleet.extra_services);
    services.for_each(|service| service.set_faults(ServiceFaults::default()));
    for relay in fleet.service_relays.iter().chain(&fleet.link_relays) {
        relay.set_fault(RelayFault::None);
    }
}

/// Clears all faults, so that held data is delivered, and waits until there are no further runs, no
/// relay traffic and no requests in flight.
async fn wait_until_idle(fleet: &Fleet) {
    clear_faults(fleet);
    let mut previous = (0, 0);
    let mut unchanged = 0;
    wait_until(
        Duration::from_secs(10),
        "end of all runs and relay traffic",
        || {
            let relayed_bytes = fleet
                .service_relays
                .iter()
                .map(|relay| relay.bytes_read())
                .sum();
            let current = (fleet.runs().len() as u64, relayed_bytes);
            unchanged = if current == previous {
                unchanged + 1
            } else {
                0
            };
            previous = current;
            fleet.in_flight() == 0 && unchanged >= 30
        },
    )
    .await;
}

/// Compares the reported executions with the runs that the services recorded.
fn check_executions(results: &[CallResult], runs: &BTreeMap<String, u64>) {
    let mut outcomes = BTreeMap::<String, usize>::new();
    let mut runs_of_key = BTreeMap::<&str, u64>::new();
    for call in results {
        let count = runs.get(&call.id).copied().unwrap_or_default();
        assert!(count <= 1, "ran {count} times: {call:?}");
        if let Some(key) = &call.idempotency_key {
            *runs_of_key.entry(key).or_default() += count;
        }
        if call.execution == "not-run" {
            assert_eq!(count, 0, "ran after not-run: {call:?}");
        }
        if call.status == StatusCode::OK {
            assert_eq!(
                call.body["nonce"], call.nonce,
                "response of another request: {call:?}"
            );
            assert_eq!(call.body["request_id"], call.id, "{call:?}");
            assert_eq!(count, 1, "status 200 without a run: {call:?}");
        }
        let outcome = format!("{} {} {}", call.status.as_u16(), call.code, call.execution);
        *outcomes.entry(outcome).or_default() += 1;
    }
    for call in results {
        let Some(key) = &call.idempotency_key else {
            continue;
        };
        let count = runs_of_key[key.as_str()];
        assert!(
            count <= 1,
            "the idempotency key {key} ran {count} times: {call:?}"
        );
        if call.execution == "ran" {
            assert_eq!(count, 1, "reported as ran without a run: {call:?}");
        }
    }
    let request_ids: BTreeSet<&str> = results.iter().map(|call| call.id.as_str()).collect();
    assert!(runs.keys().all(|id| request_ids.contains(id.as_str())));
    eprintln!(
        "{} calls, {} runs: {outcomes:#?}",
        results.len(),
        runs.len()
    );
    for execution in ["not-run", "unknown", "ran", ""] {
        let is_covered = results.iter().any(|call| call.execution == execution);
        assert!(is_covered, "no response with execution {execution:?}");
    }
}
