//! Backend servers that leave, die or are busy.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hawthornquay_standins::{EngineFaults, EngineSettings, ServiceFaults};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use support::{Caller, Fleet, FleetBuilder, chat_body, wait_until};
use tokio::time::Instant;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Time after which a leaving server gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Time over which no request may come after that.
const WATCHED: Duration = Duration::from_millis(1_500);

fn quick_engine(slots: usize) -> EngineSettings {
    EngineSettings {
        slots,
        decode_ms: 5,
        prefill_tokens_per_s: 1_000_000,
        ..EngineSettings::default()
    }
}

/// Calls each instance in turn until `end`; all answers must be the callers' own.
async fn chat_until(fleet: &Fleet, end: Instant) {
    let caller = Caller::new(Some("key-kolanut"));
    for request in 0.. {
        if Instant::now() > end {
            return;
        }
        let nonce = format!("c{request}");
        let answer = caller
            .chat(fleet.callers(request % 3), &nonce, 2, false)
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        assert!(answer.text().contains(&format!("nonce={nonce}")));
    }
}

/// Guards against new work for a leaving engine, and against requests that fail because of it.
#[tokio::test(flavor = "multi_thread")]
async fn engine_leaving_gets_no_new_work() {
    let fleet = FleetBuilder::default()
        .engine(quick_engine(8))
        .engine_domains(&["lagos-a", "lagos-a", "kano-a", "kano-a"])
        .start()
        .await;
    chat_until(&fleet, Instant::now() + Duration::from_millis(500)).await;
    for engine in [0, 2] {
        fleet.engines[engine].set_faults(EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        });
    }
    let sent = || {
        [0, 2].map(|engine: usize| {
            let counters = fleet.engines[engine].counters();
            counters.refused + counters.completed + counters.cancelled
        })
    };
    chat_until(&fleet, Instant::now() + LEAVING_BOUND).await;
    let before = sent();
    chat_until(&fleet, Instant::now() + WATCHED).await;
    assert_eq!(sent(), before);
}

/// Guards against new calls to a leaving plain service while another one can take them.
#[tokio::test(flavor = "multi_thread")]
async fn service_leaving_gets_no_new_work() {
    let fleet = FleetBuilder::default()
        .extra_services(&["lagos-a"])
        .start()
        .await;
    fleet.service.set_faults(ServiceFaults {
        leaving: true,
        ..ServiceFaults::default()
    });
    let caller = Caller::new(Some("key-kolanut"));
    let leaving_since = Instant::now();
    let mut late = 0;
    while leaving_since.elapsed() < LEAVING_BOUND + WATCHED {
        let is_late = leaving_since.elapsed() > LEAVING_BOUND;
        let answer = caller.book(fleet.callers(late % 3), None, "n").await;
        if is_late {
            late += 1;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        }
    }
    assert!(late > 10, "only {late} calls after the bound");
}

/// Guards against an idempotent request that fails, or waits, because its engine died before the
/// first byte of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn engine_dies_requests_are_retried_elsewhere() {
    let mut fleet = FleetBuilder::default()
        .engine(quick_engine(64))
        .engine_domains(&["lagos-a", "lagos-a"])
        .start()
        .await;
    let to = [fleet.callers(0), fleet.callers(1)];
    let started = Arc::new(AtomicUsize::new(0));
    let tasks: Vec<_> = (0..24_usize)
        .map(|task| {
            let started = Arc::clone(&started);
            tokio::spawn(async move {
                let caller = Caller::new(Some("key-kolanut"));
                for request in 0..4 {
                    let nonce = format!("d{task}x{request}");
                    started.fetch_add(1, Ordering::SeqCst);
                    let answer = caller.chat(to[task % 2], &nonce, 40, false).await;
                    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
                    assert!(answer.text().contains(&format!("nonce={nonce}")));
                }
            })
        })
        .collect();
    wait_until(
        Duration::from_secs(5),
        "requests at the first engine",
        || fleet.engines[0].load().running > 4,
    )
    .await;
    drop(fleet.engines.remove(0));
    for task in tasks {
        task.await.unwrap();
    }
}

/// Guards against a flood of one organisation, or of batch requests, that holds up the interactive
/// requests of another when all engines are busy, and against free slots that stay unused.
#[tokio::test(flavor = "multi_thread")]
async fn engines_busy_queue_is_fair_and_keeps_priorities() {
    let fleet = FleetBuilder::default()
        .engine(quick_engine(4))
        .engine_domains(&["lagos-a"])
        .start()
        .await;
    let to = fleet.callers(0);
    let ended = Arc::new(Mutex::new(Vec::new()));
    let send = |key: &'static str, priority: &'static str, nonce: String| {
        let ended = Arc::clone(&ended);
        tokio::spawn(async move {
            let caller = Caller::new(Some(key));
            let headers = [("x-priority", priority)];
            let body = chat_body(&nonce, 8, false);
            let answer = caller
                .call(to, Method::POST, CHAT_PATH, &headers, body)
                .await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
            assert!(answer.text().contains(&format!("nonce={nonce}")));
            ended.lock().push((key, priority));
        })
    };
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..40 {
        tasks.push(send("key-kolanut", "batch", format!("b{index}")));
    }
    for index in 0..40 {
        tasks.push(send("key-kolanut", "interactive", format!("i{index}")));
    }
    let node = fleet.node(0);
    wait_until(Duration::from_secs(5), "all requests to arrive", || {
        node.drain.in_flight() + ended.lock().len() == 80
    })
    .await;
    let already = ended.lock().len();
    for index in 0..10 {
        tasks.push(send("key-homebound", "interactive", format!("h{index}")));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let taken = begun.elapsed();
    let ended = ended.lock().clone();
    let last = |wanted| ended.iter().rposition(|seen| *seen == wanted).unwrap();
    let homebound = last(("key-homebound", "interactive"));
    let interactive = last(("key-kolanut", "interactive"));
    eprintln!("90 requests in {taken:?}; {already} ended before; {ended:?}");
    // In turns, 10 of 50 are served within the first 20; a few were already on their way.
    assert!(
        homebound - already < 32,
        "the other organisation's last is number {homebound}"
    );
    assert!(
        interactive < 80,
        "the last interactive request is number {interactive}"
    );
    let batch_before = ended[..interactive]
        .iter()
        .filter(|(_, priority)| *priority == "batch");
    assert!(
        batch_before.count() < 20,
        "batch requests came first: {ended:?}"
    );
    // Four slots and 45 ms each allow 90 requests in about 1 s.
    assert!(taken < Duration::from_secs(4), "90 requests took {taken:?}");
}

/// Guards against a queue that never drains although servers are free, because each answer that
/// ends lets one waiting request go and each new request joins the queue.
#[tokio::test(flavor = "multi_thread")]
async fn engine_returns_queue_drains() {
    const CALLERS: usize = 48;
    let engine = EngineSettings {
        decode_ms: 20,
        ..quick_engine(32)
    };
    let fleet = FleetBuilder::default()
        .engine(engine)
        .engine_domains(&["lagos-a", "lagos-a"])
        .start()
        .await;
    let leaving = |leaving| EngineFaults {
        leaving,
        ..EngineFaults::default()
    };
    fleet.engines[0].set_faults(leaving(true));
    chat_until(&fleet, Instant::now() + LEAVING_BOUND).await;
    let to = fleet.callers(0);
    let stop = Arc::new(AtomicBool::new(false));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|task| {
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let caller = Caller::new(Some("key-kolanut"));
                while !stop.load(Ordering::SeqCst) {
                    let answer = caller.chat(to, &format!("q{task}"), 10, false).await;
                    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
                }
            })
        })
        .collect();
    let running = || -> usize {
        fleet
            .engines
            .iter()
            .map(|engine| engine.load().running)
            .sum()
    };
    let limit = Duration::from_secs(5);
    wait_until(limit, "a full engine", || running() >= 32).await;
    fleet.engines[0].set_faults(leaving(false));
    wait_until(limit, "all requests running", || running() >= CALLERS - 4).await;
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        task.await.unwrap();
    }
}

/// Guards against an engine that is called although it is known to fail, for each new request.
#[tokio::test(flavor = "multi_thread")]
async fn engine_silent_others_serve() {
    let fleet = FleetBuilder::default()
        .engine(quick_engine(32))
        .engine_domains(&["lagos-a", "lagos-a"])
        .start()
        .await;
    fleet.engines[0].set_faults(EngineFaults {
        silent_after_tokens: Some(0),
        ..EngineFaults::default()
    });
    let caller = Caller::new(Some("key-kolanut"));
    let headers = [("x-deadline-ms", "300")];
    let mut answered = 0;
    for request in 0..60 {
        let body = chat_body(&format!("s{request}"), 2, false);
        let to = fleet.callers(0);
        let answer = caller
            .call(to, Method::POST, CHAT_PATH, &headers, body)
            .await;
        answered += usize::from(answer.status == StatusCode::OK);
    }
    assert!(answered > 45, "{answered} of 60 answered");
}
