//! Questions to the backend servers of the region whether they are cold.
//!
//! The leader of a region asks on behalf of its region. An instance whose connection to a server has
//! failed asks this server at once. Both send what they learn to the others. A process that has just
//! started asks for itself.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hawthornquay_instances::{Notice, ViewUpdate};
use hawthornquay_traffic::{ColdServer, LimitStatement, UnknownServer};
use tokio::time::sleep;

use crate::{
    ControlPlane, Gateway, HeaderMapping, gateway::now, status_notices::is_leader,
    view_notices::send_to_region, wire_views::cold_record,
};

/// Shortest interval at which servers are asked. A server that has become cold takes requests as a warm
/// one until it is asked again, at the peak some dozens a second.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Longest interval at which servers are asked.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval until the servers are known that a process asks after its start. Its requests wait for the
/// answers.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of servers asked per second from which the interval grows with their number.
const CHECKS_PER_S: f64 = 200.0;

/// Longest wait for the answer of a server. It needs a slot to answer, like for any request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest number of answers that one message to the other instances carries.
const MAX_BATCH: usize = 256;

/// Asks the servers of the region whether they are cold, for as long as the list cannot say it.
pub(crate) async fn check_cold_servers<C: ControlPlane, H: HeaderMapping>(
    gateway: Arc<Gateway<C, H>>,
) {
    let mut is_logged = false;
    loop {
        let time = now();
        let leads = is_leader(&gateway, time);
        let has_views = has_views(&gateway);
        let (servers, has_doubt) = {
            let mut table = gateway.servers.lock();
            let servers = table.servers_to_ask(time, leads, |domain| gateway.is_local(domain));
            (servers, table.has_doubt(time))
        };
        let interval = match has_views {
            true => check_interval(servers.len().max(usize::from(has_doubt))),
            false => START_CHECK_INTERVAL,
        };
        if !servers.is_empty() {
            if !std::mem::replace(&mut is_logged, true) {
                slog::info!(gateway.log.routing, "asking the backend servers whether they are cold";
                    "servers" => servers.len(), "leads" => leads);
            }
            // A server that is slow to answer does not delay the next round.
            tokio::spawn(ask_all(gateway.clone(), servers));
        }
        tokio::select! {
            () = sleep(interval) => {}
            () = gateway.server_doubted.notified() => {}
        }
    }
}

/// Returns whether this instance has read the configuration and the list of servers, so that it knows
/// whom to ask.
fn has_views<C, H>(gateway: &Gateway<C, H>) -> bool {
    gateway.operators.lock().configuration().is_some()
        && !gateway.servers.lock().revision().is_absent()
}

/// Returns the time until the next round after one in which `servers` were asked.
fn check_interval(servers: usize) -> Duration {
    if servers == 0 {
        return MAX_CHECK_INTERVAL;
    }
    let interval = Duration::from_secs_f64(servers as f64 / CHECKS_PER_S);
    interval.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
}

/// Asks servers, and reports those that have become cold as their answers arrive.
async fn ask_all<C: ControlPlane, H: HeaderMapping>(
    gateway: Arc<Gateway<C, H>>,
    servers: Vec<UnknownServer>,
) {
    let answers: FuturesUnordered<_> = servers.iter().map(|one| ask(&gateway, one)).collect();
    let mut answers = answers.ready_chunks(MAX_BATCH);
    while let Some(batch) = answers.next().await {
        let found: Vec<ColdServer> = batch.into_iter().flatten().collect();
        if !found.is_empty() {
            report(&gateway, &found);
        }
    }
}

/// Asks a server whether it is cold; `None` if it does not say so.
async fn ask<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    server: &UnknownServer,
) -> Option<ColdServer> {
    let configuration = gateway.configuration()?;
    let path = configuration
        .service(&server.service)?
        .health_path
        .as_deref()?;
    let asked_at = now();
    let head = gateway
        .backends
        .read_head(server.address, path, ANSWER_TIMEOUT)
        .await
        .ok()?;
    let health = gateway.header_mapping.read_health(&head);
    gateway.record_health_pause(&server.id, &health);
    // Another process may have the address by now.
    if health.server.as_deref() != Some(server.id.as_str()) {
        return None;
    }
    // A health answer need not state a limit, so one without does not end it.
    if matches!(health.limit, LimitStatement::PerSecond(_)) {
        let mut servers = gateway.servers.lock();
        servers.record_limit(now(), now(), &server.id, health.limit);
    }
    if let Some(percent) = health.load.and_then(|load| load.pace) {
        let mut servers = gateway.servers.lock();
        servers.record_pace(now(), &server.id, percent);
    }
    let remaining = health.cold?;
    if remaining.is_zero() {
        gateway.servers.lock().record_warm(server, asked_at);
        return None;
    }
    let cold = ColdServer {
        id: server.id.clone(),
        started_ms: server.started_ms,
        remaining,
    };
    let is_new = gateway.servers.lock().apply_cold(now(), &cold);
    (is_new && server.is_shared).then_some(cold)
}

/// Logs servers that have become cold, and sends them to the other instances of the region.
fn report<C: ControlPlane, H: HeaderMapping>(gateway: &Arc<Gateway<C, H>>, found: &[ColdServer]) {
    for cold in found {
        slog::info!(gateway.log.routing, "backend server states that it is cold";
            "server" => cold.id.as_str(), "remaining_ms" => cold.remaining.as_millis());
    }
    let update = ViewUpdate {
        cold_servers: found.iter().map(cold_record).collect(),
        ..ViewUpdate::default()
    };
    send_to_region(gateway, &Notice::ViewUpdate(update));
}
