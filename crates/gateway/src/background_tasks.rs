//! Work that a gateway does by itself.

use std::{sync::Arc, time::Duration};

use hawthornquay_instances::Notice;
use hawthornquay_traffic::{poll_interval, rank_in_region};
use rand::Rng;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    ControlError, ControlPlane, Gateway, HeaderMapping, Registration,
    gateway::now,
    status_notices::{leads, send_status, view_request},
    view_notices::{newer_view, send},
};

/// Time between two reports of the own state; a load that is twice as old misleads.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which one call waits for changes of the operators' orders; it bounds the age of the
/// view while nothing changes.
const CHANGE_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(350);

/// Time between two checks whether a view has to be read.
const VIEW_CHECK: Duration = Duration::from_millis(150);

/// Time between two reads of the list of instances by the leader of a region.
const INSTANCES_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which all orders are read again, in case a change was missed.
const REREAD_INTERVAL: Duration = Duration::from_secs(15);

/// Part of its life after which the entry of this instance is renewed.
const RENEWAL_PART: f64 = 0.33;

/// Starts the tasks.
pub(crate) fn spawn_tasks<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(watch_orders(gateway.clone())),
        tokio::spawn(read_servers(gateway.clone())),
        tokio::spawn(read_instances(gateway.clone())),
        tokio::spawn(report_status(gateway.clone())),
        tokio::spawn(push_views(gateway.clone())),
    ]
}

/// Keeps the operators' orders current.
async fn watch_orders<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("orders");
    let mut reread_at = now();
    loop {
        let started = now();
        let revision = gateway.operators.lock().revision();
        let must_reread = revision == 0 || started >= reread_at;
        let outcome = if must_reread {
            read_orders(&gateway).await.inspect(|()| {
                reread_at = now() + REREAD_INTERVAL;
            })
        } else if leads(&gateway, started) {
            wait_for_changes(&gateway, revision, CHANGE_WAIT).await
        } else if is_due(&gateway, gateway.operators.lock().age(started)) {
            wait_for_changes(&gateway, revision, Duration::ZERO).await
        } else {
            sleep(VIEW_CHECK).await;
            continue;
        };
        if let Err(ControlError::HistoryLost) = outcome {
            slog::info!(gateway.log.platform, "the store lost its history, reading all orders";
                "revision" => revision);
            reread_at = now();
            continue;
        }
        if health.note(&gateway, outcome).is_err() {
            pause().await;
        }
    }
}

async fn read_orders<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
) -> Result<(), ControlError> {
    let read_at = now();
    let orders = gateway.control.orders().await?;
    gateway.take_orders(read_at, orders, "store");
    Ok(())
}

async fn wait_for_changes<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    revision: u64,
    wait: Duration,
) -> Result<(), ControlError> {
    let asked_at = now();
    let changes = gateway.control.order_changes(revision, wait).await?;
    // The store may have waited; what it says holds at least since it was asked.
    let read_at = if changes.revision > revision {
        now()
    } else {
        asked_at + wait.mul_f64(0.5)
    };
    gateway.take_changes(read_at.min(now()), changes);
    Ok(())
}

/// Keeps the list of backend servers current.
async fn read_servers<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("servers");
    loop {
        if !is_due(&gateway, gateway.servers.lock().age(now())) {
            sleep(VIEW_CHECK).await;
            continue;
        }
        let read_at = now();
        let outcome = gateway.control.servers().await.map(|listing| {
            gateway.take_servers(read_at, &listing, "store");
        });
        if health.note(&gateway, outcome).is_err() {
            pause().await;
        }
    }
}

/// Keeps the entry of this instance and the list of all instances current.
async fn read_instances<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("instances");
    let mut entry = None;
    let mut renewed_at = now();
    let mut listed_at = None;
    loop {
        if gateway.is_leaving() {
            if let Some(entry) = entry.take() {
                withdraw(&gateway, entry).await;
            }
            return;
        }
        let life = gateway.settings.registration;
        if entry.is_none() || now().since(renewed_at) >= life.mul_f64(RENEWAL_PART) {
            let started = now();
            let outcome = keep_entry(&gateway, &mut entry, life).await;
            if health.note(&gateway, outcome).is_err() {
                pause().await;
                continue;
            }
            renewed_at = started;
        }
        let due = listed_at.is_none_or(|at| now().since(at) >= INSTANCES_INTERVAL);
        if due && (listed_at.is_none() || leads(&gateway, now())) {
            let outcome = gateway.control.instances().await.map(|listing| {
                gateway.take_instances(listing, "store");
            });
            if health.note(&gateway, outcome).is_ok() {
                listed_at = Some(now());
            } else {
                pause().await;
            }
        }
        sleep(VIEW_CHECK).await;
    }
}

async fn keep_entry<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    entry: &mut Option<Registration>,
    life: Duration,
) -> Result<(), ControlError> {
    if let Some(current) = *entry {
        match gateway.control.renew(current).await {
            Err(ControlError::Lapsed) => *entry = None,
            outcome => return outcome,
        }
    }
    let made = gateway.control.register(&gateway.routed(), life).await?;
    slog::info!(gateway.log.membership, "registered"; "entry" => made.0);
    *entry = Some(made);
    Ok(())
}

async fn withdraw<C: ControlPlane, H: HeaderMapping>(gateway: &Gateway<C, H>, entry: Registration) {
    if let Err(error) = gateway.control.withdraw(entry).await {
        slog::warn!(gateway.log.membership, "entry not withdrawn, it lapses";
            "entry" => entry.0, "error" => %error);
    }
}

/// Reports the own state and adapts the shares of the limits.
async fn report_status<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    loop {
        sleep(STATUS_INTERVAL).await;
        let sent = timeout(STATUS_INTERVAL * 2, send_status(&gateway)).await;
        if sent.is_err() {
            slog::debug!(gateway.log.links, "status not sent in time");
        }
        let time = now();
        let (regions, count) = {
            let instances = gateway.instances.lock();
            (instances.regions(), instances.all().len())
        };
        if count > 0 {
            let fleet = gateway.board.lock().fleet_demand(time, &regions, count);
            gateway.limits.lock().adapt(time, &fleet);
        }
    }
}

/// Tells the other instances of the region at once when the view of the leader changes.
async fn push_views<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut told = view_request(&gateway);
    loop {
        gateway.view_changed.notified().await;
        if !leads(&gateway, now()) {
            continue;
        }
        let update = newer_view(&gateway, &told);
        told = view_request(&gateway);
        let receivers: Vec<_> = {
            let instances = gateway.instances.lock();
            instances
                .followers_in(now(), &gateway.settings.region)
                .filter(|instance| instance.id.name != gateway.id.name)
                .cloned()
                .collect()
        };
        for receiver in receivers {
            let (gateway, update) = (gateway.clone(), update.clone());
            tokio::spawn(async move {
                send(&gateway, &receiver, Notice::ViewUpdate(update)).await;
            });
        }
    }
}

/// Returns whether a view of this age has to be read by this instance.
fn is_due<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    age: Option<Duration>,
) -> bool {
    let rank = rank_in_region(
        &gateway.instances.lock(),
        &gateway.settings.region,
        &gateway.id.name,
    );
    age.is_none_or(|age| age >= poll_interval(rank))
}

/// Waits after a failed call, for a time that differs between instances.
async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(STORE_PAUSE.mul_f64(jitter)).await;
}

/// Whether the last call of one kind to the store succeeded, for the log.
struct StoreHealth {
    purpose: &'static str,
    lost_since: Option<hawthornquay_decisions::MonotonicTime>,
}

impl StoreHealth {
    const fn new(purpose: &'static str) -> Self {
        Self {
            purpose,
            lost_since: None,
        }
    }

    /// Counts a call and writes a line when the store is lost or regained.
    fn note<C: ControlPlane, H: HeaderMapping>(
        &mut self,
        gateway: &Gateway<C, H>,
        outcome: Result<(), ControlError>,
    ) -> Result<(), ControlError> {
        let time = now();
        match &outcome {
            Ok(()) => {
                gateway.metrics.count_store_call("ok");
                if let Some(since) = self.lost_since.take() {
                    slog::info!(gateway.log.platform, "the store answers again";
                        "purpose" => self.purpose,
                        "lost_ms" => crate::wire_views::millis(time.since(since)));
                }
            }
            Err(error) => {
                gateway.metrics.count_store_call(error.kind());
                if self.lost_since.is_none() {
                    self.lost_since = Some(time);
                    slog::warn!(gateway.log.platform, "the store is lost";
                        "purpose" => self.purpose, "error" => %error);
                }
            }
        }
        outcome
    }
}
