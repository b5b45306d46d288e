//! Background tasks: watching the store, registration, and status notices.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::MonotonicTime;
use hawthornquay_instances::Notice;
use hawthornquay_traffic::{StoreRevision, instances_poll_interval, poll_interval};
use rand::Rng;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    ControlError, ControlPlane, Gateway, HeaderMapping, Registration,
    cold_checks::check_cold_servers,
    gateway::now,
    ramp_reports::report_ramps,
    status_notices::{is_leader, send_status, view_request},
    view_notices::{newer_view, send_to_region},
};

/// Interval between status notices. Load reports that are 600 ms old mislead the placement of
/// requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for which one request waits for changes of the configuration and the evacuations.
/// It bounds the age of this instance's copy of the store's data while nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Mean delay after a failed request to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(350);

/// Interval at which tasks check whether the store has to be read.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which the leader of a region reads the list of instances.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which a stopping instance reads the list of instances.
const LEAVING_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the leader of a region reads the configuration and all evacuations again, in
/// case a change was missed.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(15);

/// Age at which the registration of this instance is renewed, as a share of its lifetime.
const RENEWAL_SHARE_OF_TTL: f64 = 0.5;

/// Time from the registration of an instance to its first read of the list of instances when the
/// whole fleet starts for the first time. An earlier list would lack many instances, and each of
/// them would take itself for a leader and read the store for its region. An instance that starts
/// again has callers at once and reads the list without delay.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(450);

/// Starts the background tasks.
pub(crate) fn spawn_tasks<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(watch_operator_state(gateway.clone())),
        tokio::spawn(read_servers(gateway.clone())),
        tokio::spawn(maintain_registration(gateway.clone())),
        tokio::spawn(report_status(gateway.clone())),
        tokio::spawn(push_views(gateway.clone())),
        tokio::spawn(check_cold_servers(gateway.clone())),
    ]
}

/// Keeps the configuration and the evacuations current.
///
/// The leader of the region waits for changes at the store. Another instance reads the store only
/// when its view becomes too old, for example because the leader's updates stop.
async fn watch_operator_state<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("orders");
    let mut read_all_at = now();
    let mut must_read_all = false;
    let mut history_lost_at: Option<MonotonicTime> = None;
    loop {
        let started = now();
        let revision = gateway.operators.lock().revision();
        let leads = is_leader(&gateway, started);
        let reads_all = must_read_all || revision.is_absent() || (leads && started >= read_all_at);
        let outcome = if reads_all {
            read_operator_state(&gateway).await.inspect(|()| {
                read_all_at = now() + FULL_READ_INTERVAL;
                must_read_all = false;
            })
        } else if leads {
            watch_operator_state_changes(&gateway, revision, WATCH_TIMEOUT).await
        } else if must_read(&gateway, gateway.operators.lock().age(started)) {
            watch_operator_state_changes(&gateway, revision, Duration::ZERO).await
        } else {
            sleep(VIEW_CHECK_INTERVAL).await;
            continue;
        };
        if let Err(ControlError::HistoryLost) = outcome {
            slog::info!(gateway.log.platform, "change history discarded, reading all data again";
                "revision" => %revision);
            // The first read follows at once, because requests may depend on the lost changes.
            let is_repeated =
                history_lost_at.is_some_and(|at| started.since(at) < STORE_RETRY_DELAY);
            history_lost_at = Some(now());
            must_read_all = true;
            if is_repeated {
                wait_before_retry().await;
            }
            continue;
        }
        if health.record(&gateway, outcome).is_err() {
            wait_before_retry().await;
        }
    }
}

async fn read_operator_state<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
) -> Result<(), ControlError> {
    let read_at = now();
    let state = gateway.control.operator_state().await?;
    gateway.apply_operator_state(read_at, state, "store");
    Ok(())
}

async fn watch_operator_state_changes<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    revision: StoreRevision,
    wait: Duration,
) -> Result<(), ControlError> {
    let requested_at = now();
    let changes = gateway
        .control
        .operator_state_changes(revision, wait)
        .await?;
    // Data with changes is current when it arrives. A response without changes confirms the data as
    // of some time between the request and the end of the wait; the middle is assumed.
    let read_at = if changes.revision > revision {
        now()
    } else {
        requested_at + wait.mul_f64(0.5)
    };
    gateway.apply_operator_state_changes(read_at.min(now()), changes);
    Ok(())
}

/// Keeps the list of backend servers current.
async fn read_servers<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("servers");
    loop {
        let (age, is_last_read_due) = {
            let servers = gateway.servers.lock();
            (servers.age(now()), servers.is_last_read_due(now()))
        };
        let is_due = is_last_read_due && is_leader(&gateway, now());
        if !is_due && !must_read(&gateway, age) {
            sleep(VIEW_CHECK_INTERVAL).await;
            continue;
        }
        let read_at = now();
        let outcome = gateway.control.servers().await.map(|listing| {
            gateway.apply_servers(read_at, &listing, "store");
        });
        if health.record(&gateway, outcome).is_err() {
            wait_before_retry().await;
        }
    }
}

/// Keeps the registration of this instance and the list of all instances current.
async fn maintain_registration<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut health = StoreHealth::new("instances");
    let mut registration = None;
    let mut renewed_at = now();
    let mut registered_at = None;
    let first_list_delay = match gateway.settings.first_start {
        true => FIRST_LIST_DELAY,
        false => Duration::ZERO,
    };
    let mut listed_at = None;
    let mut missing_since = None;
    loop {
        if gateway.is_leaving() {
            if let Some(registration) = registration.take() {
                unregister(&gateway, registration).await;
            }
            return follow_instances(&gateway, health).await;
        }
        let ttl = gateway.settings.registration_ttl;
        registration = registration.filter(|current| !is_registration_lost(&gateway, *current));
        if registration.is_none() {
            let since = *missing_since.get_or_insert_with(now);
            gateway.metrics.set_registration_missing(now().since(since));
        }
        if must_renew(&gateway, registration, renewed_at) {
            let started = now();
            let outcome = renew_or_register(&gateway, &mut registration, ttl).await;
            if health.record(&gateway, outcome).is_err() {
                wait_before_retry().await;
                continue;
            }
            renewed_at = started;
            registered_at.get_or_insert(started);
            missing_since = None;
            gateway.metrics.set_registration_missing(Duration::ZERO);
        }
        let due = match listed_at {
            None => registered_at.is_some_and(|at| now().since(at) >= first_list_delay),
            Some(at) if is_leader(&gateway, now()) => now().since(at) >= INSTANCE_LIST_INTERVAL,
            Some(_) => must_read_instances(&gateway),
        };
        if due {
            let outcome = read_instances(&gateway).await;
            if health.record(&gateway, outcome).is_ok() {
                listed_at = Some(now());
            } else {
                wait_before_retry().await;
            }
        }
        sleep(VIEW_CHECK_INTERVAL).await;
    }
}

async fn read_instances<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
) -> Result<(), ControlError> {
    let read_at = now();
    let listing = gateway.control.instances().await?;
    gateway.apply_instances(Some(read_at), listing, "store");
    Ok(())
}

/// Keeps the list of instances of a stopping instance current. The others no longer send it their
/// changes, and its directory would go on naming instances that stop after it.
async fn follow_instances<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    mut health: StoreHealth,
) {
    loop {
        let outcome = read_instances(gateway).await;
        if health.record(gateway, outcome).is_err() {
            wait_before_retry().await;
        }
        sleep(LEAVING_LIST_INTERVAL).await;
    }
}

/// Returns whether the registration has to be renewed or written again: also at once in a new era of
/// the store, which may have lost it.
fn must_renew<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    registration: Option<Registration>,
    renewed_at: MonotonicTime,
) -> bool {
    let Some(registration) = registration else {
        return true;
    };
    let ttl = gateway.settings.registration_ttl;
    registration.revision.era < gateway.store_era()
        || now().since(renewed_at) >= ttl.mul_f64(RENEWAL_SHARE_OF_TTL)
}

/// Returns whether the list of instances shows that the store no longer has the registration,
/// although its lease may still be renewed.
fn is_registration_lost<C, H>(gateway: &Gateway<C, H>, registration: Registration) -> bool {
    let is_lost = gateway
        .instances
        .lock()
        .is_registration_lost(&gateway.id, registration.revision);
    if is_lost {
        slog::warn!(gateway.log.membership, "the registration is missing from the store; registering again";
            "lease" => registration.lease, "revision" => %registration.revision);
    }
    is_lost
}

/// Renews the registration, or registers again if it has expired.
async fn renew_or_register<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    registration: &mut Option<Registration>,
    ttl: Duration,
) -> Result<(), ControlError> {
    if let Some(current) = *registration {
        match gateway.control.renew(current).await {
            Err(ControlError::Lapsed) => *registration = None,
            outcome => return outcome,
        }
    }
    let created = gateway
        .control
        .register(&gateway.to_listed_instance(), ttl)
        .await?;
    slog::info!(gateway.log.membership, "registered";
        "lease" => created.lease, "revision" => %created.revision);
    *registration = Some(created);
    Ok(())
}

async fn unregister<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    registration: Registration,
) {
    if let Err(error) = gateway
        .control
        .unregister(&gateway.id.name, registration)
        .await
    {
        slog::warn!(gateway.log.membership, "cannot remove the registration; it will expire";
            "lease" => registration.lease, "error" => %error);
    }
}

/// Sends status notices and adapts the shares of the rate limits.
async fn report_status<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    loop {
        sleep(STATUS_INTERVAL).await;
        let sent = timeout(STATUS_INTERVAL * 2, send_status(&gateway)).await;
        if sent.is_err() {
            slog::debug!(gateway.log.links, "sending the status notice timed out");
        }
        gateway.end_grace();
        report_ramps(&gateway);
        gateway.metrics.set_store_era(gateway.store_era());
        let time = now();
        gateway
            .instances
            .lock()
            .track_leader(time, &gateway.settings.region, &gateway.id.name);
        let fleet = gateway.fleet();
        if fleet.size > 0 {
            let fleet = gateway
                .region_board
                .lock()
                .fleet_demand(time, &fleet.regions, fleet.size);
            gateway.limits.lock().update_shares(time, &fleet);
        }
    }
}

/// Sends changes of the leader's view to the other instances of its region without delay.
async fn push_views<C: ControlPlane, H: HeaderMapping>(gateway: Arc<Gateway<C, H>>) {
    let mut sent_versions = view_request(&gateway);
    loop {
        gateway.view_changed.notified().await;
        if !is_leader(&gateway, now()) {
            continue;
        }
        let update = newer_view(&gateway, &sent_versions);
        sent_versions = view_request(&gateway);
        send_to_region(&gateway, &Notice::ViewUpdate(update));
    }
}

/// Returns whether this instance has to read the store because its view has reached this `age`.
///
/// The limit rises with the rank of the instance in its region, so that one instance reads for all.
fn must_read<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    age: Option<Duration>,
) -> bool {
    let rank = {
        let instances = gateway.instances.lock();
        match instances.revision().is_absent() {
            // Without a list of instances, this one does not read for others.
            true => usize::MAX,
            false => instances.leadership_rank(&gateway.settings.region, &gateway.id.name),
        }
    };
    age.is_none_or(|age| age >= poll_interval(rank))
}

/// Returns whether this instance, which does not lead, has to read the list of instances, because the
/// leader no longer confirms it: the list may name the leader although it is lost.
fn must_read_instances<C: ControlPlane, H: HeaderMapping>(gateway: &Gateway<C, H>) -> bool {
    let instances = gateway.instances.lock();
    let rank = instances.leadership_rank(&gateway.settings.region, &gateway.id.name);
    let age = instances.age(now());
    age.is_none_or(|age| age >= instances_poll_interval(rank))
}

/// Waits after a failed request to the store. The delay is random, so that instances do not retry
/// at the same time.
async fn wait_before_retry() {
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(STORE_RETRY_DELAY.mul_f64(jitter)).await;
}

/// Result of the last request of one kind to the store, to log only changes.
struct StoreHealth {
    purpose: &'static str,
    failing_since: Option<MonotonicTime>,
}

impl StoreHealth {
    const fn new(purpose: &'static str) -> Self {
        Self {
            purpose,
            failing_since: None,
        }
    }

    /// Counts a request, and logs the first failure and the first success after failures.
    fn record<C: ControlPlane, H: HeaderMapping>(
        &mut self,
        gateway: &Gateway<C, H>,
        outcome: Result<(), ControlError>,
    ) -> Result<(), ControlError> {
        let time = now();
        match &outcome {
            Ok(()) => {
                gateway.metrics.count_store_call("ok");
                if let Some(since) = self.failing_since.take() {
                    slog::info!(gateway.log.platform, "the store answers again";
                        "purpose" => self.purpose,
                        "lost_ms" => crate::wire_views::millis(time.since(since)));
                }
            }
            Err(error) => {
                gateway.metrics.count_store_call(error.outcome());
                if self.failing_since.is_none() {
                    self.failing_since = Some(time);
                    slog::warn!(gateway.log.platform, "the store is lost";
                        "purpose" => self.purpose, "error" => %error);
                }
            }
        }
        outcome
    }
}
