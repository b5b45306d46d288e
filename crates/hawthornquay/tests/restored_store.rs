//! Instances whose store comes back from an older copy.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{InstanceState, OrganisationId, SlotIndex};
use hawthornquay_operators::BundleHead;
use hawthornquay_standins::EngineSettings;
use http::StatusCode;
use support::{Caller, Fleet, FleetBuilder, wait_until};
use tokio::time::Instant;

/// Time within which each instance has to write back what the store lost.
const WRITE_BACK_BOUND: Duration = Duration::from_secs(5);

/// Time within which a store that came back from a copy has to be settled.
const SETTLING_BOUND: Duration = Duration::from_secs(50);

const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn total_runs(fleet: &Fleet) -> u64 {
    fleet.runs().values().sum()
}

/// Guards against a booking that runs twice, because the store lost the claim of its key: sent again
/// to a running instance, to one that starts in between, and after the store is settled.
#[tokio::test(flavor = "multi_thread")]
async fn booking_whose_claim_was_lost_runs_once() {
    let mut fleet = FleetBuilder::default().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    fleet.platform.copy_store();
    let first = caller.book(fleet.callers(0), Some("own-1"), "n1").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    fleet.platform.restore_store();
    let resent = caller.book(fleet.callers(1), Some("own-1"), "n1").await;
    assert_eq!(total_runs(&fleet), 1, "{}", resent.text());
    assert_ne!(resent.execution(), "not-run", "{}", resent.text());

    fleet.abort_instance(2).await;
    fleet.start_instance(2).await;
    let end = Instant::now() + WRITE_BACK_BOUND;
    loop {
        let resent = caller.book(fleet.callers(2), Some("own-1"), "n1").await;
        assert_eq!(total_runs(&fleet), 1, "{}", resent.text());
        if resent.execution() == "ran" {
            break;
        }
        assert!(Instant::now() < end, "not written back: {}", resent.text());
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    let end = Instant::now() + SETTLING_BOUND;
    loop {
        let new = caller.book(fleet.callers(0), Some("own-2"), "n2").await;
        if new.status == StatusCode::OK {
            break;
        }
        assert_eq!(new.execution(), "unknown", "{}", new.text());
        assert!(Instant::now() < end, "not settled: {}", new.text());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let resent = caller.book(fleet.callers(1), Some("own-1"), "n1").await;
    assert_eq!(resent.execution(), "ran", "{}", resent.text());
    assert_eq!(total_runs(&fleet), 2);
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

/// Guards against an organisation that spends twice its share, because a slot that was taken over
/// since the copy is also held by the instance that the copy names.
#[tokio::test(flavor = "multi_thread")]
async fn slot_taken_over_in_lost_history_has_one_holder() {
    let mut fleet = FleetBuilder::default().start().await;
    let domain = fleet.settings[0].instance.domain.clone();
    let successor = fleet.node(1).id.clone();
    fleet.platform.copy_store();
    fleet.stop_instance(0).await;
    fleet.list_instance(0, InstanceState::Gone);
    let end = Instant::now() + SETTLING_BOUND;
    loop {
        let holders = fleet.slots(&domain).await;
        if holders.len() == 64 && holders.iter().all(|holder| *holder == successor) {
            break;
        }
        assert!(Instant::now() < end, "slots not taken over: {holders:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_until(WRITE_BACK_BOUND, "slots at the successor", || {
        held_slots(&fleet, 1) == 64
    })
    .await;
    fleet.platform.restore_store();
    fleet.list_instance(0, InstanceState::Live);
    fleet.start_instance(0).await;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(15) {
        let (first, second) = (held_slots(&fleet, 0), held_slots(&fleet, 1));
        assert!(
            first + second <= 64,
            "{first} and {second} slots are held after {:?}",
            began.elapsed()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(held_slots(&fleet, 1), 64, "confirmed slots were dropped");
}

/// Returns the number of slots that an instance holds, by its own account.
fn held_slots(fleet: &Fleet, index: usize) -> usize {
    let limits = fleet.node(index).limits.lock();
    let mut names: std::collections::BTreeMap<SlotIndex, OrganisationId> = Default::default();
    for number in 0..2_000 {
        let organisation = OrganisationId::new(&format!("organisation-{number}"));
        names
            .entry(SlotIndex::of(&organisation))
            .or_insert(organisation);
    }
    names
        .values()
        .filter(|organisation| limits.holds_slot(organisation))
        .count()
}

/// Guards against engines that refuse all orders after the store came back from a copy, because the
/// fencing numbers of the new history are lower than those of the lost one.
#[tokio::test(flavor = "multi_thread")]
async fn orders_after_restored_store_are_not_fenced() {
    let engine = EngineSettings {
        models: Vec::new(),
        ..EngineSettings::default()
    };
    let mut fleet = FleetBuilder::default().engine(engine).prepare().await;
    fleet.platform.copy_store();
    for number in 0..300 {
        let key = format!("lost/{number}");
        fleet.store_client.create(&key, b"", None).await.unwrap();
    }
    fleet.start_all(None).await;
    wait_for_model(&fleet, "ledger-7b").await;
    fleet.platform.restore_store();
    fleet.bundle_text = fleet
        .bundle_text
        .replace("models = ledger-7b", "models = ledger-7b, ledger-8b");
    let end = Instant::now() + SETTLING_BOUND;
    while let Err(error) = fleet.accept(2).await {
        assert!(Instant::now() < end, "not accepted: {error}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_for_model(&fleet, "ledger-8b").await;
}

/// Waits until every engine serves a model.
async fn wait_for_model(fleet: &Fleet, model: &str) {
    let observer = Caller::new(None);
    let end = Instant::now() + Duration::from_secs(20);
    for engine in &fleet.engines {
        while !observer
            .get(engine.address(), "/v1/models")
            .await
            .text()
            .contains(model)
        {
            assert!(Instant::now() < end, "{model} was not loaded within 20 s");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the head of the bundle in the store.
async fn stored_head(fleet: &Fleet) -> BundleHead {
    let entry = fleet.store_client.get("bundle/head").await.unwrap();
    serde_json::from_slice(&entry.value).unwrap()
}

async fn wait_for_version(fleet: &Fleet, version: u64) {
    wait_until(Duration::from_secs(4), "bundle at all instances", || {
        let mut running = fleet.daemons.iter().flatten();
        running.all(|daemon| daemon.node().bundle.version() == version)
    })
    .await;
}

/// Guards against an accepted change that is lost silently when all instances have been replaced,
/// because the store came back without it.
#[tokio::test(flavor = "multi_thread")]
async fn bundle_lost_by_the_store_is_written_back() {
    let mut fleet = FleetBuilder::default().start().await;
    fleet.platform.copy_store();
    fleet.accept(2).await.unwrap();
    wait_for_version(&fleet, 2).await;
    let accepted = stored_head(&fleet).await;
    fleet.platform.restore_store();
    assert_eq!(stored_head(&fleet).await.version, 1);
    let end = Instant::now() + WRITE_BACK_BOUND;
    loop {
        let head = stored_head(&fleet).await;
        if head == accepted {
            break;
        }
        assert!(
            Instant::now() < end,
            "the store has version {}",
            head.version
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for instance in 0..3 {
        fleet.abort_instance(instance).await;
    }
    for instance in 0..3 {
        fleet.start_instance(instance).await;
    }
    let end = Instant::now() + SETTLING_BOUND;
    while !(0..3).all(|index| fleet.node(index).bundle.version() == 2) {
        assert!(Instant::now() < end, "version 2 is not in force");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against two bundles of one version in force at the same time: the store lost the first,
/// and another one is accepted in its place.
#[tokio::test(flavor = "multi_thread")]
async fn version_lost_by_the_store_is_not_accepted_with_other_content() {
    let mut fleet = FleetBuilder::default().start().await;
    fleet.platform.copy_store();
    fleet.accept(2).await.unwrap();
    wait_for_version(&fleet, 2).await;
    fleet.platform.restore_store();
    fleet.bundle_text = fleet
        .bundle_text
        .replace("idempotency_key = optional", "idempotency_key = required");
    let accepted = fleet.accept(2).await;
    assert!(
        accepted.is_err(),
        "version 2 was accepted twice with different content"
    );
}
