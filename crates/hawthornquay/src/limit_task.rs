//! Slots and loans of the limits.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    DomainName, DomainSlots, InstanceRecord, LimitTable, Map, MonotonicTime, SlotRelease,
    SlotRules, SlotSnapshot,
};
use hawthornquay_store::{Change, Entry, PlatformError, Revision};
use slog::{info, warn};

use crate::{Node, clock, peer_loans::ask_for_loan};

const PREFIX: &str = "limits/";

/// Longest wait of one watch of the slots.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Least time between a change and the next watch.
const REWATCH_DELAY: Duration = Duration::from_millis(300);

/// Span over which the watches of all instances begin.
const REWATCH_JITTER: Duration = Duration::from_millis(400);

const PLAN_INTERVAL: Duration = Duration::from_millis(500);

const RENEW_INTERVAL: Duration = Duration::from_millis(200);

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Slots as the store holds them, with the revision of each entry.
#[derive(Default)]
struct Slots {
    snapshot: SlotSnapshot,
    revisions: Map<DomainName, Revision>,
}

/// Follows the slots in the store for as long as the process runs.
pub async fn run_slots(node: Arc<Node>) {
    loop {
        match read_slots(&node).await {
            Ok(slots) => follow(&node, slots).await,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Renews the loans in use for as long as the process runs.
pub async fn run_loans(node: Arc<Node>) {
    let mut interval = tokio::time::interval(RENEW_INTERVAL);
    loop {
        interval.tick().await;
        let calls = node.limits.lock().renew_loans(clock::now());
        for call in calls {
            let node = Arc::clone(&node);
            tokio::spawn(async move { ask_for_loan(&node, call).await });
        }
    }
}

/// Hands back all slots at shutdown.
pub async fn release_slots(node: &Arc<Node>) {
    for _ in 0..20 {
        let step = node.limits.lock().release_slots(clock::now());
        match step {
            SlotRelease::Done => return,
            SlotRelease::Wait(wait) => tokio::time::sleep(wait).await,
            SlotRelease::Write(_) => {
                if let Err(error) = write_release(node).await {
                    warn!(node.log.limits, "slots cannot be handed back"; "error" => %error);
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
    write_slots(node, &next, slots.revision_of(&node.place.domain)).await?;
    let slots = read_slots(node).await?;
    node.limits.lock().adopt_slots(slots.snapshot, clock::now());
    Ok(())
}

impl Slots {
    fn revision_of(&self, domain: &DomainName) -> Revision {
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

async fn read_slots(node: &Node) -> Result<Slots, PlatformError> {
    let listing = node.platform.list(PREFIX).await?;
    let mut slots = Slots::default();
    slots.snapshot.revision = listing.revision.0;
    for entry in &listing.entries {
        slots.apply(entry);
    }
    Ok(slots)
}

/// Plans on each change and at intervals, until the store must be read again.
async fn follow(node: &Arc<Node>, mut slots: Slots) {
    let mut is_first = true;
    loop {
        node.limits
            .lock()
            .adopt_slots(slots.snapshot.clone(), clock::now());
        node.slots.lock().clone_from(&slots.snapshot);
        match plan(node, &slots).await {
            Ok(false) => {}
            // Our own or another write changed the entry; the present one is needed.
            Ok(true) | Err(PlatformError::Conflict { .. } | PlatformError::UnknownOutcome(_)) => {
                return;
            }
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            }
        }
        if !is_first {
            // All instances watch, and each change ends all watches; without the wait a row of
            // changes would make them all call the store at once, each time.
            let jitter = REWATCH_JITTER.mul_f64(rand::random());
            tokio::time::sleep(REWATCH_DELAY + jitter).await;
        }
        is_first = false;
        let after = Revision(slots.snapshot.revision);
        let watch = node.platform.watch(PREFIX, after, WATCH_WAIT);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                changes = &mut watch => match changes {
                    Ok(changes) => {
                        slots.snapshot.revision = changes.revision.0;
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
                () = tokio::time::sleep(PLAN_INTERVAL) => match plan(node, &slots).await {
                    Ok(false) => {}
                    _ => return,
                },
            }
        }
    }
}

/// Writes what this instance should change; returns whether it wrote.
async fn plan(node: &Arc<Node>, slots: &Slots) -> Result<bool, PlatformError> {
    let known = node.listed.lock().clone();
    let has_plan = with_rules(node, &known.0, known.1, LimitTable::has_slot_plan);
    if !has_plan {
        return Ok(false);
    }
    // The list must be newer than the slots, so that an end that it reports is not that of a former
    // process whose successor holds the slot.
    let listed = node.platform.instances().await?;
    let lag = Duration::from_millis(listed.lag_ms);
    let next = with_rules(node, &listed.instances, lag, LimitTable::plan_slots);
    let Some(next) = next else {
        return Ok(false);
    };
    write_slots(node, &next, slots.revision_of(&node.place.domain)).await?;
    info!(node.log.limits, "slots written"; "slots" => next.slots.len());
    Ok(true)
}

/// Asks the limits with what the platform's list says.
fn with_rules<T>(
    node: &Node,
    listed: &[InstanceRecord],
    list_lag: Duration,
    ask: impl FnOnce(&mut LimitTable, &SlotRules<'_>, MonotonicTime) -> T,
) -> T {
    let now = clock::now();
    let own: Vec<InstanceRecord> = listed
        .iter()
        .filter(|record| record.domain == node.place.domain)
        .cloned()
        .collect();
    let rules = SlotRules {
        instances: &own,
        list_lag,
        address: node.settings.instance.peers,
        uptime: running_for(node, now),
    };
    ask(&mut node.limits.lock(), &rules, now)
}

fn running_for(node: &Node, now: MonotonicTime) -> Duration {
    now.since(node.started)
}

async fn write_slots(
    node: &Node,
    slots: &DomainSlots,
    expect: Revision,
) -> Result<(), PlatformError> {
    let key = format!("{PREFIX}{}", node.place.domain);
    let value = serde_json::to_vec(slots).expect("slots have only text and numbers");
    node.platform
        .compare_and_swap(&key, &value, expect, None)
        .await
        .map(drop)
}
