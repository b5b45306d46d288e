//! Tests of the stand-in for the platform: instance list, client directory and weight store.

mod common;

use std::time::Duration;

use common::{any_port, call, eventually, get, send};
use hawthornquay_standins::{Platform, PlatformSettings};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time::Instant;

async fn set_state(platform: &Platform, name: &str, state: &str) {
    let record = json!({
        "region": "lagos",
        "domain": "lagos-a",
        "callers": "127.0.0.1:1",
        "peers": "127.0.0.1:2",
        "operators": "127.0.0.1:3",
        "state": state,
    });
    let path = format!("/admin/instances/{name}");
    let (status, answer) = call(platform.address(), "PUT", &path, &[], record.to_string()).await;
    assert_eq!(status, StatusCode::NO_CONTENT, "{answer}");
}

async fn states(platform: &Platform) -> Vec<(String, String)> {
    let list = get(platform.address(), "/instances").await;
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let instances = list["instances"].as_array().unwrap().iter();
    instances
        .map(|entry| (text(&entry["name"]), text(&entry["state"])))
        .collect()
}

/// Guards against a list without the configured delay, and against state ages that restart when the
/// same state is reported again.
#[tokio::test]
async fn instance_list_is_delayed() {
    let settings = PlatformSettings {
        list_lag: Duration::ZERO,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(any_port(), settings).await.unwrap();
    set_state(&platform, "one", "live").await;
    assert_eq!(
        states(&platform).await,
        [("one".to_owned(), "live".to_owned())]
    );
    let (_, faults) = call(
        platform.address(),
        "POST",
        "/admin/faults",
        &[],
        r#"{"list_lag_ms":400}"#,
    )
    .await;
    assert_eq!(faults["list_lag_ms"], 400);
    let changed = Instant::now();
    set_state(&platform, "one", "gone").await;
    assert_eq!(get(platform.address(), "/instances").await["lag_ms"], 400);
    eventually("the list shows the new state", async || {
        states(&platform).await == [("one".to_owned(), "gone".to_owned())]
    })
    .await;
    assert!(changed.elapsed() >= Duration::from_millis(400));
    set_state(&platform, "one", "gone").await;
    eventually(
        "the age includes the time before the repeated report",
        async || {
            get(platform.address(), "/instances").await["instances"][0]["state_age_ms"]
                .as_u64()
                .is_some_and(|age| age > 500)
        },
    )
    .await;
    call(
        platform.address(),
        "DELETE",
        "/admin/instances/one",
        &[],
        "",
    )
    .await;
    eventually("the list omits the removed instance", async || {
        states(&platform).await.is_empty()
    })
    .await;
}

/// Guards against directory entries that are altered, missing or larger than the limit.
#[tokio::test]
async fn directory_returns_stored_entries() {
    let platform = Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap();
    let address = platform.address();
    let (status, _) = call(address, "GET", "/directory/lagos", &[], "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (status, _) = call(address, "PUT", "/directory/lagos", &[], r#"["a"]"#).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    assert_eq!(get(address, "/directory/lagos").await, json!(["a"]));
    let big = "x".repeat((1 << 20) + 1);
    let (status, _) = call(address, "PUT", "/directory/lagos", &[], big).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(platform.counters().directory_calls, 4);
}

/// Guards against concurrent readers of the weight store that each get the full throughput.
#[tokio::test]
async fn weight_readers_share_the_throughput() {
    let settings = PlatformSettings {
        weight_bytes: 200_000,
        weight_bytes_per_s: 1_000_000,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(any_port(), settings).await.unwrap();
    let read = async || {
        let res = send(platform.address(), "GET", "/weights/ledger-7b", &[], "")
            .await
            .unwrap();
        res.into_body().collect().await.unwrap().to_bytes().len()
    };
    let start = Instant::now();
    assert_eq!(tokio::join!(read(), read()), (200_000, 200_000));
    assert!(
        start.elapsed() >= Duration::from_millis(390),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(platform.counters().weight_bytes, 400_000);
}
