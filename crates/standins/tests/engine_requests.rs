//! Tests of the stand-in for a model engine: answers, batching, priorities and cancellation.

mod common;

use std::time::Duration;

use common::{TIMEOUT, any_port, call, chat, eventually, get, send};
use hawthornquay_standins::{EngineFaults, EngineSettings, ModelEngine, generated_text};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time::timeout;

const CHAT: &str = "/v1/chat/completions";
/// More tokens than are generated during a test.
const ENDLESS_TOKENS: u64 = 1_000_000;

async fn engine(settings: EngineSettings) -> ModelEngine {
    ModelEngine::start(any_port(), settings).await.unwrap()
}

fn fast_settings() -> EngineSettings {
    EngineSettings {
        decode_ms: 0,
        prefill_tokens_per_s: 1_000_000,
        load_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn one_slot_settings() -> EngineSettings {
    EngineSettings {
        slots: 1,
        decode_ms: 5,
        ..fast_settings()
    }
}

async fn read_events(res: http::Response<hyper::body::Incoming>) -> Vec<String> {
    let data = res.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(data.to_vec()).unwrap();
    text.split_terminator("\n\n")
        .map(|event| event.strip_prefix("data: ").unwrap().to_owned())
        .collect()
}

/// Guards against an answer without the nonce of its request, which a client could not distinguish
/// from the answer to another one, and against token counts that differ from the gateway's
/// estimate.
#[tokio::test]
async fn complete_answer_has_nonce_and_usage() {
    let engine = engine(fast_settings()).await;
    let headers = [("x-request-id", "r-1")];
    for (prompt, tokens) in [("nonce=a", 2), ("nonce=ab", 2), ("nonce=abc", 3)] {
        let (status, value) = call(
            engine.address(),
            "POST",
            CHAT,
            &headers,
            chat(prompt, 5, false),
        )
        .await;
        assert_eq!(status, StatusCode::OK);
        let text = generated_text(&prompt["nonce=".len()..], 5);
        assert_eq!(value["choices"][0]["message"]["content"], text);
        assert_eq!(value["usage"]["prompt_tokens"], tokens, "{prompt}");
        assert_eq!(value["usage"]["completion_tokens"], 5);
        assert_eq!(value["usage"]["total_tokens"], tokens + 5);
        assert_eq!(value["id"], "r-1");
    }
}

/// Guards against a stream without all tokens, the usage or the final `[DONE]`.
#[tokio::test]
async fn streamed_answer_has_all_tokens_usage_and_end() {
    let engine = engine(fast_settings()).await;
    let res = send(
        engine.address(),
        "POST",
        CHAT,
        &[],
        chat("say nonce=n1 now", 4, true),
    );
    let res = res.await.unwrap();
    assert_eq!(res.headers()["content-type"], "text/event-stream");
    let events = read_events(res).await;
    assert_eq!(events.last().unwrap(), "[DONE]");
    let chunks: Vec<Value> = events[..events.len() - 1]
        .iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect();
    let text: String = chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(text, generated_text("n1", 4));
    let usage = &chunks.last().unwrap()["usage"];
    assert_eq!(usage["completion_tokens"], 4);
    assert_eq!(usage["prompt_tokens"], 4);
}

/// Guards against an invalid request that takes a slot, or is refused with the wrong error code.
#[tokio::test]
async fn invalid_requests_are_refused_without_a_slot() {
    let engine = engine(fast_settings()).await;
    let other_model = chat("nonce=a", 1, false).replace("ledger-7b", "absent-7b");
    let cases = [
        ("not JSON", "{".to_owned(), "interactive", 400, "bad-json"),
        (
            "no tokens",
            chat("nonce=a", 0, false),
            "interactive",
            400,
            "bad-request",
        ),
        (
            "priority",
            chat("nonce=a", 1, false),
            "urgent",
            400,
            "bad-request",
        ),
        ("model", other_model, "batch", 404, "model-not-found"),
    ];
    for (name, body, priority, status, code) in cases {
        let headers = [("x-priority", priority)];
        let (got, value) = call(engine.address(), "POST", CHAT, &headers, body).await;
        assert_eq!(got.as_u16(), status, "{name}");
        assert_eq!(value["error"]["code"], code, "{name}");
    }
    assert_eq!(engine.counters().started, 0);
    assert_eq!(engine.counters().refused, 4);
}

/// Guards against an engine that runs more or fewer requests than it has slots, or whose queue
/// exceeds its limit.
#[tokio::test]
async fn running_and_queued_requests_are_limited() {
    let settings = EngineSettings {
        slots: 3,
        queue_limit: 2,
        ..one_slot_settings()
    };
    let engine = engine(settings).await;
    let mut open = Vec::new();
    for _ in 0..5 {
        let body = chat("nonce=a", ENDLESS_TOKENS, true);
        open.push(
            send(engine.address(), "POST", CHAT, &[], body)
                .await
                .unwrap(),
        );
    }
    let load = get(engine.address(), "/load").await;
    assert_eq!((&load["running"], &load["waiting"]), (&json!(3), &json!(2)));
    let body = chat("nonce=a", 1, false);
    let (status, value) = call(engine.address(), "POST", CHAT, &[], body).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(value["error"]["code"], "queue-full");
    drop(open);
    eventually("all requests have ended", async || {
        engine.load().running == 0
    })
    .await;
}

/// Guards against answers that are generated one after another or in fixed batches: with continuous
/// batching, a freed slot is reused while the other requests are still running.
#[tokio::test]
async fn freed_slot_is_reused_while_others_run() {
    let engine = engine(EngineSettings {
        slots: 2,
        ..one_slot_settings()
    })
    .await;
    let address = engine.address();
    let long = send(
        address,
        "POST",
        CHAT,
        &[],
        chat("nonce=long", ENDLESS_TOKENS, true),
    );
    let long = long.await.unwrap();
    for n in 0..3 {
        let body = chat(&format!("nonce=short{n}"), 2, false);
        let (status, _) = call(address, "POST", CHAT, &[], body).await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(engine.load().running, 1);
    drop(long);
}

/// Guards against batch requests that are served before interactive ones that arrived later.
#[tokio::test]
async fn queue_is_ordered_by_priority_then_arrival() {
    let engine = engine(one_slot_settings()).await;
    let address = engine.address();
    let holder = send(
        address,
        "POST",
        CHAT,
        &[],
        chat("nonce=a", ENDLESS_TOKENS, true),
    );
    let holder = holder.await.unwrap();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let arrivals = [
        ("b1", "batch"),
        ("i1", "interactive"),
        ("b2", "batch"),
        ("i2", "interactive"),
    ];
    for (n, (name, priority)) in arrivals.into_iter().enumerate() {
        let tx = tx.clone();
        tokio::spawn(async move {
            let headers = [("x-priority", priority)];
            call(address, "POST", CHAT, &headers, chat("nonce=a", 3, false)).await;
            tx.send(name).unwrap();
        });
        eventually("the request is queued", async || {
            engine.load().waiting == n + 1
        })
        .await;
    }
    drop(holder);
    let mut order = Vec::new();
    for _ in arrivals {
        order.push(timeout(TIMEOUT, rx.recv()).await.unwrap().unwrap());
    }
    assert_eq!(order, ["i1", "i2", "b1", "b2"]);
}

/// Guards against requests that keep their slot or queue entry after the client disconnected.
#[tokio::test]
async fn disconnect_cancels_requests() {
    let engine = engine(one_slot_settings()).await;
    for stream in [true, false] {
        let before = engine.counters().cancelled;
        let address = engine.address();
        let tasks: Vec<_> = (0..2)
            .map(|_| {
                let body = chat("nonce=a", ENDLESS_TOKENS, stream);
                tokio::spawn(async move {
                    let res = send(address, "POST", CHAT, &[], body).await.unwrap();
                    let _ = res.into_body().collect().await;
                })
            })
            .collect();
        eventually("one request runs and one is queued", async || {
            let load = engine.load();
            (load.running, load.waiting) == (1, 1)
        })
        .await;
        for task in tasks {
            task.abort();
        }
        eventually("both requests have ended", async || {
            let load = engine.load();
            (load.running, load.waiting) == (0, 0)
        })
        .await;
        assert_eq!(engine.counters().cancelled, before + 2, "stream {stream}");
    }
}

/// Guards against cancelled requests that continue, and cancellations that affect another request.
#[tokio::test]
async fn request_is_cancelled_by_id() {
    let engine = engine(one_slot_settings()).await;
    let address = engine.address();
    let start = |id: &'static str, stream| async move {
        let headers = [("x-request-id", id)];
        send(
            address,
            "POST",
            CHAT,
            &headers,
            chat("nonce=a", ENDLESS_TOKENS, stream),
        )
        .await
    };
    let running = start("running", true).await.unwrap();
    let waiting = tokio::spawn(start("waiting", false));
    eventually("the second request is queued", async || {
        engine.load().waiting == 1
    })
    .await;

    let (status, _) = call(address, "DELETE", "/v1/requests/other", &[], "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (status, _) = call(address, "DELETE", "/v1/requests/waiting", &[], "").await;
    assert_eq!(status, StatusCode::OK);
    let answer = timeout(TIMEOUT, waiting).await.unwrap().unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::CONFLICT);
    assert_eq!(engine.load().running, 1);

    let (status, _) = call(address, "DELETE", "/v1/requests/running", &[], "").await;
    assert_eq!(status, StatusCode::OK);
    let events = timeout(TIMEOUT, read_events(running)).await.unwrap();
    let last: Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
    assert!(last["usage"]["prompt_tokens"].is_u64(), "{last}");
    let end: Value = serde_json::from_str(&events[events.len() - 3]).unwrap();
    assert_eq!(end["choices"][0]["finish_reason"], "cancelled");
    eventually("the slot is free", async || engine.load().running == 0).await;
}

/// Guards against injected faults that do not have the documented effect on the client.
#[tokio::test]
async fn faults_have_the_documented_effect() {
    let engine = engine(fast_settings()).await;
    let address = engine.address();
    let send_chat = || async {
        send(address, "POST", CHAT, &[], chat("nonce=a", 5, true))
            .await
            .unwrap()
    };

    engine.set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    assert_eq!(send_chat().await.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(get(address, "/load").await["leaving"], true);

    engine.set_faults(EngineFaults {
        break_after_tokens: Some(2),
        ..EngineFaults::default()
    });
    let broken = send_chat().await.into_body().collect().await;
    assert!(
        broken.is_err(),
        "the connection is aborted within the stream"
    );

    engine.set_faults(EngineFaults {
        silent_after_tokens: Some(2),
        ..EngineFaults::default()
    });
    let mut silent = send_chat().await.into_body();
    for _ in 0..2 {
        timeout(TIMEOUT, silent.frame())
            .await
            .unwrap()
            .unwrap()
            .unwrap();
    }
    let more = timeout(Duration::from_millis(100), silent.frame()).await;
    assert!(more.is_err(), "no data arrives after the second token");

    engine.set_faults(EngineFaults {
        wrong_nonce: true,
        ..EngineFaults::default()
    });
    let events = read_events(send_chat().await).await;
    assert!(events[0].contains("nonce=crossed"), "{}", events[0]);
}

/// Guards against a stop that aborts answers in flight, and a drop that leaves connections open.
#[tokio::test]
async fn stop_completes_answers_and_drop_aborts_them() {
    let first = engine(one_slot_settings()).await;
    let res = send(
        first.address(),
        "POST",
        CHAT,
        &[],
        chat("nonce=a", 20, true),
    )
    .await
    .unwrap();
    let events = tokio::spawn(read_events(res));
    assert!(first.stop().await);
    assert_eq!(events.await.unwrap().last().unwrap(), "[DONE]");

    let second = engine(one_slot_settings()).await;
    let body = chat("nonce=a", ENDLESS_TOKENS, true);
    let res = send(second.address(), "POST", CHAT, &[], body)
        .await
        .unwrap();
    drop(second);
    let rest = timeout(TIMEOUT, res.into_body().collect()).await.unwrap();
    assert!(
        rest.is_err(),
        "the connection closes when the engine is dropped"
    );
}
