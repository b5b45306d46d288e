//! Tests of the stand-in for the platform: key-value store.

mod common;

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use common::{TIMEOUT, any_port, call, eventually, get};
use hawthornquay_standins::{Platform, PlatformFaults, PlatformSettings};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

async fn platform() -> Platform {
    Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap()
}

fn value(text: &str) -> String {
    STANDARD.encode(text)
}

async fn put(platform: &Platform, key: &str, text: &str, expect: Value) -> (u16, Value) {
    put_leased(platform, key, text, expect, Value::Null).await
}

async fn put_leased(
    platform: &Platform,
    key: &str,
    text: &str,
    expect: Value,
    lease: Value,
) -> (u16, Value) {
    let body = json!({"value": value(text), "expect": expect, "lease": lease}).to_string();
    let path = format!("/kv/{key}");
    let (status, answer) = call(platform.address(), "PUT", &path, &[], body).await;
    (status.as_u16(), answer)
}

async fn watch(platform: &Platform, prefix: &str, after: u64, wait_ms: u64) -> Value {
    let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
    get(platform.address(), &path).await
}

/// Guards against conditional writes that overwrite an entry at another revision than expected.
#[tokio::test]
async fn put_requires_the_expected_revision() {
    let platform = platform().await;
    let cases = [
        ("create", json!(0), 200, 1),
        ("create again", json!(0), 409, 1),
        ("wrong revision", json!(7), 409, 1),
        ("right revision", json!(1), 200, 2),
        ("old revision", json!(1), 409, 2),
        ("unconditional", json!(null), 200, 3),
    ];
    for (name, expect, status, revision) in cases {
        let (got, answer) = put(&platform, "bundle/head", name, expect).await;
        assert_eq!(got, status, "{name}");
        assert_eq!(answer["revision"], revision, "{name}");
        if status == 409 {
            let current = get(platform.address(), "/kv/bundle/head").await;
            assert_eq!(answer, current, "a conflict returns the current entry");
        }
    }
    let (got, answer) = put(&platform, "absent", "x", json!(3)).await;
    assert_eq!((got, answer), (409, Value::Null));
}

/// Guards against conditional deletions of an entry at another revision, and deleted keys that are
/// still listed.
#[tokio::test]
async fn delete_requires_the_expected_revision() {
    let platform = platform().await;
    for key in ["a/1", "a/2", "b/1"] {
        put(&platform, key, key, json!(0)).await;
    }
    for (path, status) in [
        ("/kv/a/1?expect=2", 409),
        ("/kv/a/1?expect=1", 200),
        ("/kv/a/1", 404),
        ("/kv/a/1?expect=1", 409),
    ] {
        let (got, _) = call(platform.address(), "DELETE", path, &[], "").await;
        assert_eq!(got.as_u16(), status, "{path}");
    }
    let list = get(platform.address(), "/list?prefix=a%2F").await;
    assert_eq!(list["revision"], 4);
    assert_eq!(list["entries"].as_array().unwrap().len(), 1);
    assert_eq!(list["entries"][0]["key"], "a/2");
    assert_eq!(list["entries"][0]["value"], value("a/2"));
    let (status, answer) = put(&platform, "a/1", "again", json!(0)).await;
    assert_eq!((status, &answer["revision"]), (200, &json!(5)));
}

/// Guards against values above the limit of 1 MiB that are stored, and values at the limit that are
/// refused.
#[tokio::test]
async fn values_above_1_mib_are_refused() {
    let platform = platform().await;
    for (bytes, status) in [(1 << 20, 200), ((1 << 20) + 1, 413), (4 << 20, 413)] {
        let (got, _) = put(&platform, "big", &"x".repeat(bytes), json!(null)).await;
        assert_eq!(got, status, "{bytes} bytes");
    }
    assert_eq!(platform.counters().revision, 1);
}

/// Guards against watches that miss changes or deletions, or return before there is a change.
#[tokio::test]
async fn watch_returns_changes_and_deletions() {
    let platform = platform().await;
    put(&platform, "a/1", "old", json!(0)).await;
    put(&platform, "a/2", "two", json!(0)).await;
    put(&platform, "b/1", "else", json!(0)).await;
    put(&platform, "a/1", "new", json!(1)).await;
    let past_changes = watch(&platform, "a/", 0, 60_000).await;
    assert_eq!(past_changes["revision"], 4);
    let keys: Vec<&Value> = past_changes["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| &entry["key"])
        .collect();
    assert_eq!(keys, ["a/2", "a/1"], "changes are sorted by revision");

    let nothing = watch(&platform, "a/", 4, 10).await;
    assert_eq!(nothing, json!({"revision": 4, "entries": []}));

    let act = async {
        eventually("the watch is waiting", async || {
            platform.counters().waiting_watches == 1
        })
        .await;
        put(&platform, "b/1", "not watched", json!(null)).await;
        call(platform.address(), "DELETE", "/kv/a/2", &[], "").await;
    };
    let start = Instant::now();
    let (seen, ()) = tokio::join!(watch(&platform, "a/", 4, 60_000), act);
    assert!(start.elapsed() < TIMEOUT);
    let deleted = json!([{"key": "a/2", "revision": 6, "deleted": true}]);
    assert_eq!(seen, json!({"revision": 6, "entries": deleted}));
    assert_eq!(platform.counters().waiting_watches, 0);
}

/// Guards against leases that outlast their time to live, expire although they are renewed, or end
/// without deleting their keys.
#[tokio::test]
async fn leases_expire_with_their_keys() {
    let platform = platform().await;
    let address = platform.address();
    let lease = async |ttl_ms: u64| {
        let body = json!({"ttl_ms": ttl_ms}).to_string();
        let (_, answer) = call(address, "POST", "/leases", &[], body).await;
        answer["lease"].as_u64().unwrap()
    };
    let (short, long) = (lease(1000).await, lease(3_600_000).await);
    put_leased(&platform, "k/brief", "x", json!(0), json!(short)).await;
    put_leased(&platform, "k/long", "x", json!(0), json!(long)).await;
    put_leased(&platform, "k/moved", "x", json!(0), json!(short)).await;
    put_leased(&platform, "k/moved", "x", json!(3), json!(long)).await;

    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(1500) {
        let path = format!("/leases/{short}/renew");
        let (status, _) = call(address, "POST", &path, &[], "").await;
        assert_eq!(status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        platform.counters().keys,
        3,
        "a renewed lease does not expire"
    );

    // No other call is made, so the expiry itself has to notify the watch.
    let seen = timeout(TIMEOUT, watch(&platform, "k/", 4, 60_000))
        .await
        .unwrap();
    assert_eq!(seen["entries"].as_array().unwrap().len(), 1);
    assert_eq!(
        (&seen["entries"][0]["key"], &seen["entries"][0]["deleted"]),
        (&json!("k/brief"), &json!(true))
    );

    for (method, path, status) in [
        ("POST", format!("/leases/{short}/renew"), 404),
        ("DELETE", format!("/leases/{short}"), 404),
        ("DELETE", format!("/leases/{long}"), 200),
    ] {
        let (got, _) = call(address, method, &path, &[], "").await;
        assert_eq!(got.as_u16(), status, "{method} {path}");
    }
    assert_eq!(platform.counters().keys, 0);
    let (status, _) = put_leased(&platform, "k/late", "x", json!(0), json!(short)).await;
    assert_eq!(status, 404, "a key cannot be attached to an ended lease");
}

/// Guards against calls that no rate limit counts, and against reads that count as writes or the
/// reverse.
#[tokio::test]
async fn rate_limits_count_every_call() {
    let settings = PlatformSettings {
        writes_per_s: 4,
        reads_per_s: 6,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(any_port(), settings).await.unwrap();
    let address = platform.address();
    let writes = [
        ("PUT", "/kv/a"),
        ("DELETE", "/kv/a"),
        ("POST", "/leases"),
        ("POST", "/leases/1/renew"),
        ("DELETE", "/leases/1"),
    ];
    let reads = ["/kv/a", "/list?prefix=", "/watch?prefix=&after=0&wait_ms=0"];
    let mut refused = 0;
    for (method, path) in writes.iter().cycle().take(40) {
        let (status, _) = call(address, method, path, &[], r#"{"value":"","ttl_ms":9}"#).await;
        refused += u64::from(status == StatusCode::TOO_MANY_REQUESTS);
    }
    for path in reads.iter().cycle().take(40) {
        let (status, _) = call(address, "GET", path, &[], "").await;
        refused += u64::from(status == StatusCode::TOO_MANY_REQUESTS);
    }
    let counters = platform.counters();
    assert_eq!(
        (
            counters.writes + counters.refused_writes,
            counters.reads + counters.refused_reads
        ),
        (40, 40)
    );
    assert_eq!(counters.refused_writes + counters.refused_reads, refused);
    assert!(
        counters.refused_writes >= 20 && counters.refused_reads >= 20,
        "{counters:?}"
    );
    eventually("the rate limit admits calls again", async || {
        call(address, "GET", "/list", &[], "").await.0 == StatusCode::OK
    })
    .await;
}

/// Guards against an outage that lets calls through or loses written entries.
#[tokio::test]
async fn outage_refuses_every_call() {
    let platform = platform().await;
    put(&platform, "a", "x", json!(0)).await;
    let set = |body: &'static str| call(platform.address(), "POST", "/admin/faults", &[], body);
    let path = "/watch?prefix=a&after=1&wait_ms=60000";
    let start_outage = async {
        eventually("the watch is waiting", async || {
            platform.counters().waiting_watches == 1
        })
        .await;
        set(r#"{"outage":true}"#).await;
    };
    let ((status, _), ()) =
        tokio::join!(call(platform.address(), "GET", path, &[], ""), start_outage);
    assert_eq!(
        status,
        StatusCode::SERVICE_UNAVAILABLE,
        "an outage ends a waiting watch"
    );
    for path in ["/kv/a", "/list", "/instances", "/directory/a", "/weights/a"] {
        let (status, _) = call(platform.address(), "GET", path, &[], "").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
    }
    assert_eq!(put(&platform, "a", "y", json!(1)).await.0, 503);
    set("{}").await;
    assert_eq!(get(platform.address(), "/kv/a").await["revision"], 1);
}

/// Guards against watches that return while the fault withholds responses, or that do not return
/// after the fault is cleared.
#[tokio::test]
async fn withheld_watch_returns_after_the_fault() {
    let platform = platform().await;
    platform.set_faults(PlatformFaults {
        hold_watches: true,
        ..PlatformFaults::default()
    });
    let mut watching = Box::pin(watch(&platform, "a", 0, 20));
    assert!(
        timeout(Duration::from_millis(100), &mut watching)
            .await
            .is_err()
    );
    put(&platform, "a", "x", json!(0)).await;
    assert!(
        timeout(Duration::from_millis(100), &mut watching)
            .await
            .is_err()
    );
    platform.set_faults(PlatformFaults::default());
    assert_eq!(watching.await["entries"][0]["key"], "a");
}

/// Returns the status and the era header of the response to a read of `path`.
async fn era_of(platform: &Platform, path: &str) -> (u16, String) {
    let res = common::send(platform.address(), "GET", path, &[], "")
        .await
        .unwrap();
    let era = res.headers().get("store-era").map(|era| era.to_str());
    let era = era.unwrap_or(Ok("absent")).unwrap().to_owned();
    (res.status().as_u16(), era)
}

/// Guards against a drill that loses less than everything since the copy, such as a revision counter
/// or lease numbers that are not given out again, and against responses without the era.
#[tokio::test]
async fn restored_store_returns_to_its_copy_in_a_new_era() {
    let platform = platform().await;
    let address = platform.address();
    assert!(!platform.restore_store(), "no copy was made");
    let lease = async || {
        let (_, answer) = call(address, "POST", "/leases", &[], r#"{"ttl_ms":60000}"#).await;
        answer["lease"].as_u64().unwrap()
    };
    let kept = lease().await;
    put_leased(&platform, "a", "kept", json!(0), json!(kept)).await;
    put(&platform, "b", "old", json!(0)).await;
    platform.copy_store();
    put(&platform, "b", "new", json!(2)).await;
    let lost = lease().await;
    put_leased(&platform, "c", "lost", json!(0), json!(lost)).await;
    call(address, "DELETE", "/kv/a", &[], "").await;
    assert_eq!(era_of(&platform, "/kv/b").await, (200, "0".to_owned()));
    assert!(platform.restore_store());

    for (path, status) in [("/kv/b", 200), ("/kv/c", 404), ("/list", 200)] {
        assert_eq!(
            era_of(&platform, path).await,
            (status, "1".to_owned()),
            "{path}"
        );
    }
    let list = get(address, "/list?prefix=").await;
    let values: Vec<&Value> = list["entries"].as_array().unwrap().iter().collect();
    assert_eq!(list["revision"], 2);
    assert_eq!(values.len(), 2);
    assert_eq!(
        (&values[0]["value"], &values[0]["lease"]),
        (&json!(value("kept")), &json!(kept))
    );
    assert_eq!(values[1]["value"], value("old"));
    let (status, _) = put_leased(&platform, "c", "x", json!(0), json!(lost)).await;
    assert_eq!(status, 404, "the lease granted since the copy is gone");
    assert_eq!(lease().await, lost, "its number is given out again");
    let (status, answer) = put(&platform, "d", "x", json!(0)).await;
    assert_eq!((status, &answer["revision"]), (200, &json!(3)));
    call(address, "POST", "/admin/store/restore", &[], "").await;
    assert_eq!(platform.counters().era, 2);
}

/// Guards against a watch of a discarded history that is answered as if nothing had changed, both
/// one that waits during the drill and one that starts after it.
#[tokio::test]
async fn watch_of_discarded_history_is_refused() {
    let platform = platform().await;
    put(&platform, "a", "1", json!(0)).await;
    call(platform.address(), "POST", "/admin/store/copy", &[], "").await;
    put(&platform, "a", "2", json!(1)).await;
    let path = "/watch?prefix=a&after=2&wait_ms=60000";
    let restore = async {
        eventually("the watch is waiting", async || {
            platform.counters().waiting_watches == 1
        })
        .await;
        platform.restore_store();
    };
    let ((waiting, _), ()) = tokio::join!(call(platform.address(), "GET", path, &[], ""), restore);
    assert_eq!(waiting, StatusCode::GONE);
    let (later, _) = call(platform.address(), "GET", path, &[], "").await;
    assert_eq!(later, StatusCode::GONE);
    let current = watch(&platform, "a", 0, 0).await;
    assert_eq!(
        (&current["revision"], &current["entries"][0]["revision"]),
        (&json!(1), &json!(1))
    );
}
