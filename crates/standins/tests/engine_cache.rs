//! Tests of the stand-in for a model engine: prefix cache, load reports and orders.

mod common;

use std::time::Duration;

use common::{any_port, call, chat, eventually, get, send};
use hawthornquay_standins::{BLOCK_TOKENS, EngineSettings, ModelEngine, kv_block, prompt_prefixes};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const MODEL: &str = "ledger-7b";

async fn engine(settings: EngineSettings) -> ModelEngine {
    ModelEngine::start(any_port(), settings).await.unwrap()
}

fn settings(cache_blocks: u64) -> EngineSettings {
    EngineSettings {
        decode_ms: 0,
        prefill_tokens_per_s: 1_000_000,
        kv_capacity: cache_blocks * BLOCK_TOKENS,
        event_delay: Duration::ZERO,
        load_lag: Duration::ZERO,
        order_delay: Duration::ZERO,
        ..EngineSettings::default()
    }
}

/// Returns a prompt of two complete blocks and one incomplete block.
fn prompt(letter: &str) -> String {
    letter.repeat(512) + " nonce=a"
}

async fn cached_tokens(engine: &ModelEngine, prompt: &str) -> u64 {
    let body = chat(prompt, 1, false);
    let (status, value) = call(engine.address(), "POST", CHAT, &[], body).await;
    assert_eq!(status, StatusCode::OK, "{value}");
    value["usage"]["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .unwrap()
}

async fn events(engine: &ModelEngine, after: u64) -> (Vec<(u64, String, String)>, u64) {
    let value = get(engine.address(), &format!("/cache-events?after={after}")).await;
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let events = value["events"].as_array().unwrap().iter();
    let events = events
        .map(|event| {
            let sequence = event["sequence"].as_u64().unwrap();
            (sequence, text(&event["kind"]), text(&event["prefix"]))
        })
        .collect();
    (events, value["next"].as_u64().unwrap())
}

/// Guards against a cache that exceeds its capacity, or does not evict the least recently used
/// block.
#[tokio::test]
async fn full_cache_evicts_least_recently_used_blocks() {
    let engine = engine(settings(4)).await;
    let (a, b, c) = (prompt("a"), prompt("b"), prompt("c"));
    assert_eq!(cached_tokens(&engine, &a).await, 0);
    assert_eq!(cached_tokens(&engine, &b).await, 0);
    assert_eq!(cached_tokens(&engine, &a).await, 2 * BLOCK_TOKENS);
    assert_eq!(cached_tokens(&engine, &c).await, 0);
    assert_eq!(engine.load().kv_used, 4 * BLOCK_TOKENS);
    assert_eq!(cached_tokens(&engine, &a).await, 2 * BLOCK_TOKENS);
    assert_eq!(cached_tokens(&engine, &b).await, 0);

    let (events, next) = events(&engine, 0).await;
    let [a, b, c] = [a, b, c].map(|prompt| prompt_prefixes(MODEL, &prompt));
    let expected = [
        ("stored", &a[0]),
        ("stored", &a[1]),
        ("stored", &b[0]),
        ("stored", &b[1]),
        ("evicted", &b[1]),
        ("evicted", &b[0]),
        ("stored", &c[0]),
        ("stored", &c[1]),
        ("evicted", &c[1]),
        ("evicted", &c[0]),
        ("stored", &b[0]),
        ("stored", &b[1]),
    ];
    let got: Vec<(&str, &String)> = events.iter().map(|(_, kind, id)| (&**kind, id)).collect();
    assert_eq!(got, expected);
    assert_eq!(next, 12);
}

/// Guards against equal identifiers for different models, or for prompts that differ in an earlier
/// block.
#[test]
fn prefix_ids_depend_on_model_and_earlier_blocks() {
    let whole = prompt_prefixes(MODEL, &prompt("a"));
    assert_eq!(whole.len(), 2);
    assert_eq!(prompt_prefixes(MODEL, &"a".repeat(511)), whole[..1]);
    assert_ne!(prompt_prefixes("other", &prompt("a")), whole);
    let changed = "b".to_owned() + &prompt("a")[1..];
    let changed = prompt_prefixes(MODEL, &changed);
    assert_ne!((&changed[0], &changed[1]), (&whole[0], &whole[1]));
    assert_ne!(changed[1], whole[1]);
}

/// Guards against a prefill time that includes cached tokens.
#[tokio::test]
async fn cached_tokens_need_no_prefill() {
    let slow = EngineSettings {
        prefill_tokens_per_s: 640,
        ..settings(4)
    };
    let engine = engine(slow).await;
    let mut durations = Vec::new();
    for _ in 0..2 {
        let start = std::time::Instant::now();
        cached_tokens(&engine, &prompt("a")).await;
        durations.push(start.elapsed());
    }
    assert!(durations[0] >= Duration::from_millis(200), "{durations:?}");
    assert!(durations[1] < durations[0] / 2, "{durations:?}");
}

/// Guards against lost events that a reader cannot detect.
#[tokio::test]
async fn lost_events_leave_detectable_gaps() {
    let engine = engine(EngineSettings {
        event_gap_every: 3,
        ..settings(64)
    })
    .await;
    for letter in ["a", "b", "c"] {
        cached_tokens(&engine, &prompt(letter)).await;
    }
    let (seen, next) = events(&engine, 0).await;
    let sequences: Vec<u64> = seen.iter().map(|(sequence, ..)| *sequence).collect();
    assert_eq!(sequences, [1, 2, 4, 5]);
    assert_eq!(next, 6, "`next` includes the lost last event");
    assert_eq!(events(&engine, 4).await.0.len(), 1);
    assert_eq!(events(&engine, next).await, (Vec::new(), next));
}

/// Guards against cache events and load reports without the configured delay, and against reports
/// of an unchanged load that keep their sequence number.
#[tokio::test]
async fn events_and_load_reports_are_delayed() {
    let hour = Duration::from_secs(3600);
    let late = EngineSettings {
        event_delay: hour,
        load_lag: hour,
        ..settings(64)
    };
    let engine = engine(EngineSettings {
        decode_ms: 5,
        ..late
    })
    .await;
    cached_tokens(&engine, &prompt("a")).await;
    assert_eq!(events(&engine, 0).await, (Vec::new(), 0));
    let body = chat("nonce=a", 1_000_000, true);
    let open = send(engine.address(), "POST", CHAT, &[], body)
        .await
        .unwrap();
    assert_eq!(engine.load().running, 1);
    for sequence in [1, 2] {
        // An idle engine returns new reports, so that readers do not consider it silent.
        let load = get(engine.address(), "/load").await;
        assert_eq!(
            (&load["running"], &load["sequence"]),
            (&json!(0), &json!(sequence))
        );
    }
    drop(open);

    let lag = Duration::from_millis(50);
    let brief = EngineSettings {
        event_delay: lag,
        load_lag: lag,
        ..settings(64)
    };
    let engine = self::engine(brief).await;
    cached_tokens(&engine, &prompt("a")).await;
    eventually("events can be read", async || {
        events(&engine, 0).await.0.len() == 2
    })
    .await;
    eventually("the report shows the current load", async || {
        let mut report = get(engine.address(), "/load").await;
        report["sequence"] = json!(engine.load().sequence);
        report == json!(engine.load())
    })
    .await;
}

/// Guards against an engine that accepts an order sent under an expired lease, and against an
/// engine without the fencing check that refuses one.
#[tokio::test]
async fn orders_with_an_outdated_fence_are_refused_if_checked() {
    let cases: [(bool, &[(u64, u16)]); 2] = [
        (true, &[(5, 200), (4, 409), (5, 200), (6, 200), (5, 409)]),
        (false, &[(5, 200), (4, 200), (6, 200), (1, 200)]),
    ];
    for (checks_fencing, orders) in cases {
        let engine = engine(EngineSettings {
            checks_fencing,
            ..settings(4)
        })
        .await;
        for (fence, status) in orders {
            let order = json!({"kind": "load-model", "model": format!("m{fence}"), "fence": fence});
            let (got, value) =
                call(engine.address(), "POST", "/orders", &[], order.to_string()).await;
            assert_eq!(
                got.as_u16(),
                *status,
                "checks_fencing {checks_fencing}, fence {fence}: {value}"
            );
        }
        let models = get(engine.address(), "/orders").await["models"].clone();
        let outdated_accepted = models.as_array().unwrap().contains(&json!("m4"));
        assert_eq!(outdated_accepted, !checks_fencing, "{models}");
    }
}

/// Guards against orders that take effect without delay, are applied twice, or supersede an order
/// that they do not concern.
#[tokio::test]
async fn orders_take_effect_after_the_delay() {
    let delay = Duration::from_millis(200);
    let engine = engine(EngineSettings {
        order_delay: delay,
        ..settings(4)
    })
    .await;
    let order = |kind: &str, model: &str| {
        let body = json!({"kind": kind, "model": model, "fence": 1}).to_string();
        call(engine.address(), "POST", "/orders", &[], body)
    };
    let (_, first) = order("load-adapter", "yard").await;
    assert_eq!(first["orders"][0]["state"], "pending");
    assert_eq!(first["models"], json!([MODEL]));
    let (_, second) = order("load-adapter", "yard").await;
    assert_eq!(second["orders"].as_array().unwrap().len(), 1);
    let models = async || get(engine.address(), "/orders").await["models"].clone();
    eventually("the adapter is loaded", async || {
        models().await == json!([MODEL, "yard"])
    })
    .await;
    order("unload-model", "yard").await;
    order("set-role", "prefill").await;
    eventually("the adapter is unloaded", async || {
        models().await == json!([MODEL])
    })
    .await;
    eventually("the role is set", async || {
        get(engine.address(), "/orders").await["role"] == "prefill"
    })
    .await;
}

/// Guards against an import that accepts the block of another prefix.
#[tokio::test]
async fn exported_cache_blocks_can_be_imported() {
    let (from, to) = (engine(settings(4)).await, engine(settings(4)).await);
    cached_tokens(&from, &prompt("a")).await;
    let prefixes = prompt_prefixes(MODEL, &prompt("a"));
    for prefix in &prefixes {
        let path = format!("/kv-cache/{prefix}");
        let (status, _) = call(to.address(), "GET", &path, &[], "").await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        let (status, _) = call(to.address(), "PUT", &path, &[], kv_block("other")).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        let res = send(from.address(), "GET", &path, &[], "").await.unwrap();
        let block = res.into_body().collect().await.unwrap().to_bytes();
        let (status, _) = call(to.address(), "PUT", &path, &[], block).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
    }
    assert_eq!(cached_tokens(&to, &prompt("a")).await, 2 * BLOCK_TOKENS);
}
