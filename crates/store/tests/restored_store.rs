//! Tests of the client against a store that comes back from an older copy.

mod common;

use std::time::Duration;

use common::{any_port, client, outcome};
use hawthornquay_standins::{Platform, PlatformSettings};
use hawthornquay_store::PlatformClient;

const LEASE_TTL: Duration = Duration::from_secs(60);

/// Returns a platform with a copy of its empty store, and two clients of it.
async fn copied_platform() -> (Platform, PlatformClient, PlatformClient) {
    let platform = Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap();
    platform.copy_store();
    let clients = [0; 2].map(|_| client(platform.address()));
    let [first, second] = clients;
    (platform, first, second)
}

/// Guards against two holders of one lease: the store grants the number of a lost lease again, and
/// its former holder renews or ends the lease of the new one.
#[tokio::test]
async fn lease_of_earlier_era_is_not_renewed_or_ended() {
    let (platform, former, current) = copied_platform().await;
    let lost = former.grant_lease(LEASE_TTL).await.unwrap();
    platform.restore_store();
    let granted = current.grant_lease(LEASE_TTL).await.unwrap();
    current.create("k", b"", Some(granted)).await.unwrap();
    assert_eq!(outcome(&former.renew_lease(lost).await), "not found");
    assert_eq!(outcome(&former.end_lease(lost).await), "not found");
    current.renew_lease(granted).await.unwrap();
    assert_eq!(outcome(&current.get("k").await), "ok");
}

/// Guards against a key that is attached to the lease of another process, and that is deleted when
/// that lease ends.
#[tokio::test]
async fn write_with_lease_of_earlier_era_is_not_confirmed() {
    let (platform, former, current) = copied_platform().await;
    let lost = former.grant_lease(LEASE_TTL).await.unwrap();
    platform.restore_store();
    current.grant_lease(LEASE_TTL).await.unwrap();
    let first = former.create("a", b"x", Some(lost)).await;
    assert_ne!(outcome(&first), "ok", "the era changed during the call");
    let second = former.create("b", b"x", Some(lost)).await;
    assert_eq!(outcome(&second), "not found");
    assert_eq!(outcome(&current.get("b").await), "not found");
    let lease = former.grant_lease(LEASE_TTL).await.unwrap();
    former.create("b", b"x", Some(lease)).await.unwrap();
}

/// Guards against a write that overwrites another one, because its expected revision was given out
/// again.
#[tokio::test]
async fn write_expecting_revision_of_earlier_era_has_no_effect() {
    let (platform, former, current) = copied_platform().await;
    let lost = former.create("k", b"former", None).await.unwrap();
    platform.restore_store();
    current.create("k", b"current", None).await.unwrap();
    assert_eq!(outcome(&former.get("other").await), "not found");
    let written = former.compare_and_swap("k", b"former", lost, None).await;
    assert_ne!(outcome(&written), "ok");
    let deleted = former.delete("k", Some(lost)).await;
    assert_ne!(outcome(&deleted), "ok");
    assert_eq!(current.get("k").await.unwrap().value, "current");
}

/// Guards against a watch that misses changes, because the new history has passed the revision of
/// the former one after which it watches.
#[tokio::test]
async fn watch_after_revision_of_earlier_era_is_refused() {
    let (platform, former, current) = copied_platform().await;
    former.create("k/a", b"", None).await.unwrap();
    let lost = former.create("k/a2", b"", None).await.unwrap();
    platform.restore_store();
    for key in ["k/b", "k/c", "k/d"] {
        current.create(key, b"", None).await.unwrap();
    }
    for attempt in 0..2 {
        let changes = former.watch("k/", lost, Duration::ZERO).await;
        assert!(changes.is_err(), "attempt {attempt}: {changes:?}");
    }
}
