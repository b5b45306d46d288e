//! Instances whose store comes back from an older copy.

mod support;

use std::time::Duration;

use http::StatusCode;
use support::{Caller, Fleet, FleetBuilder};

fn total_runs(fleet: &Fleet) -> u64 {
    fleet.runs().values().sum()
}

/// Guards against a booking that runs twice, because its claim is attached to a lease that the store
/// lost and granted again to another process, and that ends with that lease.
#[tokio::test(flavor = "multi_thread")]
async fn claim_with_lease_granted_again_is_kept() {
    let fleet = FleetBuilder::default().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    fleet.platform.copy_store();
    let first = caller.book(fleet.callers(0), Some("own-1"), "n1").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    fleet.platform.restore_store();
    let ttl = Duration::from_millis(1_500);
    fleet.store_client.grant_lease(ttl).await.unwrap();
    let sent = caller.book(fleet.callers(0), Some("own-2"), "n2").await;
    tokio::time::sleep(ttl + Duration::from_secs(1)).await;
    let resent = caller.book(fleet.callers(1), Some("own-2"), "n2").await;
    assert!(
        total_runs(&fleet) <= 2,
        "{}; {}",
        sent.text(),
        resent.text()
    );
}
