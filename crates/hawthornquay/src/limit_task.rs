//! Background tasks for the slots and loans of the rate limits.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    DomainName, DomainSlots, InstanceRecord, LimitTable, Map, MonotonicTime, SlotRelease,
    SlotRules, SlotSnapshot,
};
use hawthornquay_store::{Change, Entry, PlatformError, StoreRevision};
use slog::{info, warn};

use crate::{
    Node, clock,
    peer_loans::request_loan,
    store_recovery::{refresh_marker, settled_era},
};

/// Prefix of the keys of slots in the store; the name of the failure domain follows.
const PREFIX: &str = "limits/";

/// Longest time for which one watch of the slots waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Shortest time between a change and the next watch.
const MIN_REWATCH_DELAY: Duration = Duration::from_millis(300);

/// Longest random delay of the next watch, which spreads the calls of all instances.
const MAX_REWATCH_JITTER: Duration = Duration::from_millis(400);

/// Interval at which the plan is computed again without a change in the store.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which loans that are about to end are renewed.
const LOAN_RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Slots of all failure domains as read from the store, with the revision of each entry.
#[derive(Default)]
struct StoredSlots {
    snapshot: SlotSnapshot,
    revisions: Map<DomainName, StoreRevision>,
}

/// Applies and updates the slots in the store, for as long as the process runs.
pub async fn run_slot_updates(node: Arc<Node>) {
    loop {
        match read_slots(&node).await {
            Ok(slots) => watch_slots(&node, slots).await,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Renews the loans in use, for as long as the process runs.
pub async fn run_loan_renewals(node: Arc<Node>) {
    let mut interval = tokio::time::interval(LOAN_RENEWAL_INTERVAL);
    loop {
        interval.tick().await;
        let calls = node.limits.lock().renew_loans(clock::now());
        for call in calls {
            let node = Arc::clone(&node);
            tokio::spawn(async move { request_loan(&node, call).await });
        }
    }
}

/// Releases all slots of this instance at shutdown.
///
/// It stops after 20 steps.
pub async fn release_slots(node: &Arc<Node>) {
    for _ in 0..20 {
        let step = node.limits.lock().release_slots(clock::now());
        match step {
            SlotRelease::Done => return,
            SlotRelease::Wait(wait) => tokio::time::sleep(wait).await,
            SlotRelease::Write(_) => {
                if let Err(error) = write_release(node).await {
                    warn!(node.log.limits, "slots not released"; "error" => %error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn write_release(node: &Arc<Node>) -> Result<(), PlatformError> {
    let slots = read_slots(node).await?;
    node.limits
        .lock()
        .adopt_slots(slots.snapshot.clone(), clock::now());
    let SlotRelease::Write(next) = node.limits.lock().release_slots(clock::now()) else {
        return Ok(());
    };
    write_slots(node, &next, slots.revision_of(&node.location.domain)).await?;
    let slots = read_slots(node).await?;
    node.limits.lock().adopt_slots(slots.snapshot, clock::now());
    Ok(())
}

impl StoredSlots {
    fn revision_of(&self, domain: &DomainName) -> StoreRevision {
        self.revisions.get(domain).copied().unwrap_or_default()
    }

    fn apply(&mut self, entry: &Entry) {
        let Some(domain) = entry.key.strip_prefix(PREFIX).map(DomainName::new) else {
            return;
        };
        let Ok(slots) = serde_json::from_slice::<DomainSlots>(&entry.value) else {
            return;
        };
        self.revisions.insert(domain.clone(), entry.revision);
        self.snapshot.domains.insert(domain, slots);
    }
}

async fn read_slots(node: &Node) -> Result<StoredSlots, PlatformError> {
    let listing = node.platform.list(PREFIX).await?;
    let mut slots = StoredSlots::default();
    slots.snapshot.revision = listing.revision;
    for entry in &listing.entries {
        slots.apply(entry);
    }
    Ok(slots)
}

/// Updates whether the era of the store is settled; returns whether it could be determined.
async fn update_settled_era(node: &Node) -> bool {
    if settled_era(node).is_none() && !refresh_marker(node).await {
        return false;
    }
    if let Some(era) = settled_era(node) {
        node.limits.lock().settle_era(era, clock::now());
    }
    true
}

/// Applies changes of the slots and writes this instance's plan, until the slots must be read
/// again.
///
/// The plan is computed on each change and at intervals.
async fn watch_slots(node: &Arc<Node>, mut slots: StoredSlots) {
    let mut is_first = true;
    loop {
        // An era must be known to be settled or not before its slots are adopted.
        if !update_settled_era(node).await {
            tokio::time::sleep(RETRY_DELAY).await;
            return;
        }
        node.limits
            .lock()
            .adopt_slots(slots.snapshot.clone(), clock::now());
        node.slots.lock().clone_from(&slots.snapshot);
        match write_planned_slots(node, &slots).await {
            Ok(false) => {}
            // This or another instance has changed the entry, so its current state must be read.
            Ok(true) | Err(PlatformError::Conflict { .. } | PlatformError::UnknownOutcome(_)) => {
                return;
            }
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            }
        }
        if !is_first {
            // Every instance watches the slots, and each change ends all watches. Without this
            // delay, each of several changes in a row would cause simultaneous store calls of all
            // instances.
            let jitter = MAX_REWATCH_JITTER.mul_f64(rand::random());
            tokio::time::sleep(MIN_REWATCH_DELAY + jitter).await;
        }
        is_first = false;
        let after = slots.snapshot.revision;
        let watch = node.platform.watch(PREFIX, after, WATCH_TIMEOUT);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                changes = &mut watch => match changes {
                    Ok(changes) => {
                        slots.snapshot.revision = changes.revision;
                        for change in &changes.changes {
                            match change {
                                Change::Written(entry) => slots.apply(entry),
                                Change::Deleted { .. } => return,
                            }
                        }
                        break;
                    }
                    Err(_) => {
                        tokio::time::sleep(RETRY_DELAY).await;
                        return;
                    }
                },
                () = tokio::time::sleep(PLAN_INTERVAL) => match write_planned_slots(node, &slots).await {
                    Ok(false) => {}
                    _ => return,
                },
            }
        }
    }
}

/// Writes the slots that this instance plans, if they differ; returns whether it wrote them.
async fn write_planned_slots(node: &Arc<Node>, slots: &StoredSlots) -> Result<bool, PlatformError> {
    // The marker must be read after the slots. If the era is settled later, another instance may
    // claim a slot, and the write of this plan then conflicts.
    if !update_settled_era(node).await {
        return Ok(false);
    }
    let last_list = node.instance_list.lock().clone();
    let has_plan = with_rules(node, &last_list.0, last_list.1, LimitTable::has_slot_plan);
    if !has_plan {
        return Ok(false);
    }
    // The list must be read after the slots. An older list may report the end of a process whose
    // successor of the same name now holds the slot.
    let listed = node.platform.instances().await?;
    let lag = Duration::from_millis(listed.lag_ms);
    let next = with_rules(node, &listed.instances, lag, LimitTable::plan_slots);
    let Some(next) = next else {
        return Ok(false);
    };
    write_slots(node, &next, slots.revision_of(&node.location.domain)).await?;
    info!(node.log.limits, "slots written"; "slots" => next.slots.len());
    Ok(true)
}

/// Calls `query` on the limits with the slot rules that follow from the platform's list.
fn with_rules<T>(
    node: &Node,
    listed: &[InstanceRecord],
    list_lag: Duration,
    query: impl FnOnce(&mut LimitTable, &SlotRules<'_>, MonotonicTime) -> T,
) -> T {
    let now = clock::now();
    let own: Vec<InstanceRecord> = listed
        .iter()
        .filter(|record| record.domain == node.location.domain)
        .cloned()
        .collect();
    let rules = SlotRules {
        instances: &own,
        list_lag,
        address: node.settings.instance.peers,
        uptime: uptime(node, now),
    };
    query(&mut node.limits.lock(), &rules, now)
}

fn uptime(node: &Node, now: MonotonicTime) -> Duration {
    now.since(node.started_at)
}

async fn write_slots(
    node: &Node,
    slots: &DomainSlots,
    expect: StoreRevision,
) -> Result<(), PlatformError> {
    let key = format!("{PREFIX}{}", node.location.domain);
    let value = serde_json::to_vec(slots).expect("slots contain only text and numbers");
    node.platform
        .compare_and_swap(&key, &value, expect, None)
        .await
        .map(drop)
}
