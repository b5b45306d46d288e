//! Tests of the client against the stand-in platform.

mod common;

use std::time::Duration;

use common::{TEST_TIMEOUT, any_port, client, outcome, short_timeouts};
use hawthornquay_decisions::{InstanceRecord, InstanceState};
use hawthornquay_standins::{Platform, PlatformFaults, PlatformSettings};
use hawthornquay_store::{Change, MAX_VALUE_BYTES, PlatformClient, StoreRevision};
use tokio::time::{Instant, timeout};

async fn platform() -> (Platform, PlatformClient) {
    let platform = Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap();
    let client = client(platform.address());
    (platform, client)
}

/// Guards against keys and values that are altered by encoding, such as keys with URL delimiters.
#[tokio::test]
async fn keys_and_values_round_trip() {
    let (_platform, client) = platform().await;
    let keys = [
        "a", "a/b", "a//b", "a b", "a%2Fb", "a+b", "a?b=c&d", "a#b", "ä/ö", "/a", "a/",
    ];
    for key in keys {
        let value = [key.as_bytes(), &[0, 255]].concat();
        let revision = client.create(key, &value, None).await.unwrap();
        let entry = client.get(key).await.unwrap();
        assert_eq!(
            (&*entry.key, &*entry.value, entry.revision),
            (key, &*value, revision)
        );
    }
    let listed = client.list("a/").await.unwrap();
    let found: Vec<&str> = listed.entries.iter().map(|entry| &*entry.key).collect();
    assert_eq!(found, ["a/", "a//b", "a/b"]);
    assert_eq!(listed.revision, common::revision(keys.len() as u64));
    assert_eq!(client.list("").await.unwrap().entries.len(), keys.len());
}

/// Guards against conflicts that do not return the current entry of the key.
#[tokio::test]
async fn conflict_returns_current_entry() {
    let (_platform, client) = platform().await;
    let first = client.create("head", b"one", None).await.unwrap();
    let second = client
        .compare_and_swap("head", b"two", first, None)
        .await
        .unwrap();
    let current = client.get("head").await.unwrap();
    let conflicts = [
        client.create("head", b"three", None).await,
        client.compare_and_swap("head", b"three", first, None).await,
        client.delete("head", Some(first)).await,
    ];
    for conflict in conflicts {
        let Err(hawthornquay_store::PlatformError::Conflict {
            current: Some(returned),
        }) = conflict
        else {
            panic!("{conflict:?}");
        };
        assert_eq!(*returned, current);
    }
    client.delete("head", Some(second)).await.unwrap();
    assert_eq!(outcome(&client.get("head").await), "not found");
    assert_eq!(outcome(&client.delete("head", None).await), "not found");
    let absent = client.compare_and_swap("head", b"x", second, None).await;
    assert_eq!(outcome(&absent), "conflict, absent");
}

/// Guards against changes that are missed between two watch calls.
#[tokio::test]
async fn watch_resumes_from_returned_revision() {
    let (platform, client) = platform().await;
    let mut revision = client.create("k/a", b"1", None).await.unwrap();
    let empty = client
        .watch("k/", revision, Duration::from_millis(20))
        .await
        .unwrap();
    assert_eq!((empty.revision, empty.changes.len()), (revision, 0));
    let other = PlatformClient::new(platform.address(), short_timeouts());
    let write = async {
        let written = other
            .compare_and_swap("k/a", b"2", revision, None)
            .await
            .unwrap();
        other.delete("k/a", Some(written)).await.unwrap();
    };
    let (first, ()) = tokio::join!(client.watch("k/", revision, TEST_TIMEOUT), write);
    let first = first.unwrap();
    assert_eq!(first.changes.len(), 1);
    revision = first.revision;
    let mut last = first.changes;
    if matches!(last[0], Change::Written(_)) {
        last = client
            .watch("k/", revision, TEST_TIMEOUT)
            .await
            .unwrap()
            .changes;
    }
    let deleted = Change::Deleted {
        key: "k/a".to_owned(),
        revision: common::revision(3),
    };
    assert_eq!(last, [deleted]);
}

/// Guards against keys that outlive their lease, and against renewals of an ended lease that
/// succeed.
#[tokio::test]
async fn ended_lease_deletes_its_keys() {
    let (_platform, client) = platform().await;
    let long = client.grant_lease(Duration::from_secs(3600)).await.unwrap();
    let short = client
        .grant_lease(Duration::from_millis(100))
        .await
        .unwrap();
    client.create("long", b"", Some(long)).await.unwrap();
    let written = client.create("short", b"", Some(short)).await.unwrap();
    assert_eq!(client.get("long").await.unwrap().lease, Some(long));
    let changes = client.watch("short", written, TEST_TIMEOUT).await.unwrap();
    assert!(
        matches!(changes.changes[..], [Change::Deleted { .. }]),
        "{changes:?}"
    );
    assert_eq!(outcome(&client.renew_lease(short).await), "not found");
    assert_eq!(
        outcome(&client.create("late", b"", Some(short)).await),
        "not found"
    );
    client.renew_lease(long).await.unwrap();
    client.end_lease(long).await.unwrap();
    assert_eq!(outcome(&client.get("long").await), "not found");
}

/// Guards against a list of instances or a directory entry that does not round-trip.
#[tokio::test]
async fn instances_and_directory_entries_round_trip() {
    let (platform, client) = platform().await;
    platform.set_faults(PlatformFaults {
        list_lag_ms: Some(0),
        ..PlatformFaults::default()
    });
    let record = InstanceRecord {
        name: "one".into(),
        region: "lagos".into(),
        domain: "lagos-a".into(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        operators: "127.0.0.1:3".parse().unwrap(),
        state: InstanceState::Leaving,
        state_age_ms: 0,
    };
    platform.set_instance(record.clone());
    let mut listed = client.instances().await.unwrap();
    assert_eq!(listed.lag_ms, 0);
    listed.instances[0].state_age_ms = 0;
    assert_eq!(listed.instances, [record]);

    assert_eq!(outcome(&client.read_directory("eu/one").await), "not found");
    client.write_directory("eu/one", "[]".into()).await.unwrap();
    assert_eq!(client.read_directory("eu/one").await.unwrap(), "[]");
}

/// Guards against platform faults that map to the wrong error, in particular a write of unknown
/// outcome that is reported as having had no effect.
#[tokio::test]
async fn faults_map_to_errors() {
    let slow = short_timeouts().call.as_millis() as u64 * 4;
    let faults = |set: fn(&mut PlatformFaults)| {
        let mut faults = PlatformFaults::default();
        set(&mut faults);
        faults
    };
    let delayed = PlatformFaults {
        delay_ms: slow,
        ..PlatformFaults::default()
    };
    // Name, faults, outcome of a read, outcome of a write, whether the write took effect.
    let cases = [
        ("none", PlatformFaults::default(), "ok", "ok", true),
        (
            "outage",
            faults(|faults| faults.outage = true),
            "outage",
            "outage",
            false,
        ),
        (
            "lost response",
            faults(|faults| faults.lose_answers = 1),
            "ok",
            "unknown, connection lost",
            true,
        ),
        (
            "delay",
            delayed,
            "unknown, timeout",
            "unknown, timeout",
            true,
        ),
    ];
    for (name, faults, read, write, effect) in cases {
        let (platform, client) = platform().await;
        client.create("seed", b"", None).await.unwrap();
        platform.set_faults(faults);
        assert_eq!(outcome(&client.get("seed").await), read, "{name}");
        let written = client.create("key", b"", None).await;
        assert_eq!(outcome(&written), write, "{name}");
        let is_known = written
            .as_ref()
            .err()
            .is_none_or(|err| err.is_outcome_known());
        assert_eq!(is_known, !write.starts_with("unknown"), "{name}");
        platform.set_faults(PlatformFaults::default());
        assert_eq!(client.get("key").await.is_ok(), effect, "{name}");
    }
}

/// Guards against rejections by the rate or size limit that map to the wrong error.
#[tokio::test]
async fn limits_map_to_errors() {
    let settings = PlatformSettings {
        writes_per_s: 1,
        reads_per_s: 1,
        ..Default::default()
    };
    let platform = Platform::start(any_port(), settings).await.unwrap();
    let client = client(platform.address());
    let big = vec![0; MAX_VALUE_BYTES + 1];
    assert_eq!(
        outcome(&client.create("big", &big, None).await),
        "too large"
    );
    assert_eq!(
        outcome(&client.write_directory("big", big.into()).await),
        "too large"
    );
    assert_eq!(platform.counters().writes, 0, "no oversized write is sent");
    client.create("a", b"", None).await.unwrap();
    client.get("a").await.unwrap();
    let mut outcomes = Vec::new();
    for _ in 0..5 {
        outcomes.push(outcome(&client.create("b", b"", None).await));
        outcomes.push(outcome(&client.get("a").await));
        outcomes.push(outcome(&client.list("a").await));
        outcomes.push(outcome(
            &client
                .watch("a", StoreRevision::ABSENT, Duration::ZERO)
                .await,
        ));
    }
    assert!(outcomes.contains(&"rate exceeded"), "{outcomes:?}");
    let counters = platform.counters();
    let refused = outcomes
        .iter()
        .filter(|outcome| **outcome == "rate exceeded")
        .count();
    assert_eq!(
        counters.refused_writes + counters.refused_reads,
        refused as u64
    );
}

/// Guards against a refused connection being reported as an unknown outcome although nothing was
/// sent.
#[tokio::test]
async fn refused_connection_is_unreachable() {
    let (platform, client) = platform().await;
    client.create("a", b"", None).await.unwrap();
    let address = platform.address();
    platform.stop().await;
    let fresh = PlatformClient::new(address, short_timeouts());
    for _ in 0..2 {
        assert_eq!(outcome(&fresh.create("a", b"", None).await), "unreachable");
        assert_eq!(
            outcome(&fresh.watch("a", StoreRevision::ABSENT, TEST_TIMEOUT).await),
            "unreachable"
        );
    }
}

/// Guards against a watch that never returns because the platform sends no response.
#[tokio::test]
async fn watch_without_response_times_out() {
    let (platform, client) = platform().await;
    platform.set_faults(PlatformFaults {
        hold_watches: true,
        ..PlatformFaults::default()
    });
    let start = Instant::now();
    let wait = Duration::from_millis(50);
    let held = timeout(TEST_TIMEOUT, client.watch("a", StoreRevision::ABSENT, wait)).await;
    let held = held.expect("watch ends within its own time-out");
    assert_eq!(outcome(&held), "unknown, timeout");
    assert!(start.elapsed() >= wait + short_timeouts().watch_margin);
    assert_eq!(outcome(&client.list("").await), "ok");
}
