//! Polling of backend servers for load reports and cache events.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    BackendKind, BackendName, BackendServer, GossipLoad, InstanceName, LoadKey, LoadReport, Map,
    MemberState, polling_instance,
};
use slog::debug;

use crate::{Node, clock, gossip::send_digest_to_domain};

/// Interval between two polls of a backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound of the age of a load report that this instance polled.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Upper bound of the age of a load report that arrived by gossip.
const MAX_RELAYED_REPORT_AGE: Duration = Duration::from_secs(2);

/// Prefill speed assumed for a server that another instance polls, in tokens per second.
const ASSUMED_PREFILL_TOKENS_PER_S: f64 = 4_000.0;

/// Time between tokens assumed for a server that another instance polls, in milliseconds.
const ASSUMED_DECODE_MS: f64 = 20.0;

/// Polls this instance's share of the failure domain's backend servers, for as long as the process
/// runs.
pub async fn run_load_polls(node: Arc<Node>) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut relayed: Map<BackendName, u64> = Map::default();
    let mut leaving: Map<BackendName, bool> = Map::default();
    let mut events: Map<BackendName, u64> = Map::default();
    loop {
        interval.tick().await;
        let instances = domain_instances(&node);
        node.routing.lock().view.set_instance_count(instances.len());
        let servers = polled_servers(&node, &instances);
        let polls = servers.iter().map(|server| poll_load(&node, server));
        let loads: Vec<GossipLoad> = join_all(polls).await.into_iter().flatten().collect();
        let leaving_changed = update_leaving(&mut leaving, &loads);
        node.members.lock().own_entry_mut().loads = loads;
        if leaving_changed {
            let node = Arc::clone(&node);
            tokio::spawn(async move { send_digest_to_domain(&node).await });
        }
        for server in servers.iter().filter(|server| is_engine(server)) {
            poll_cache_events(&node, server, &mut events).await;
        }
        record_relayed_reports(&node, &mut relayed);
        node.backends.close_expired();
        node.queue.signal_server_free();
    }
}

/// Updates which servers are leaving; returns whether the state of any server changed.
fn update_leaving(known: &mut Map<BackendName, bool>, loads: &[GossipLoad]) -> bool {
    let mut changed = false;
    for load in loads {
        let before = known.insert(load.backend.clone(), load.leaving);
        changed |= before.unwrap_or_default() != load.leaving;
    }
    changed
}

/// Returns the backend servers that this instance polls.
fn polled_servers(node: &Node, instances: &[InstanceName]) -> Vec<BackendServer> {
    let Some(bundle) = node.bundle.active() else {
        return Vec::new();
    };
    let own = &node.id.name;
    bundle
        .bundle()
        .backends
        .values()
        .filter(|server| server.domain == node.location.domain)
        .filter(|server| polling_instance(&server.name, instances) == Some(own))
        .cloned()
        .collect()
}

/// Returns the live instances of this failure domain, including this one.
fn domain_instances(node: &Node) -> Vec<InstanceName> {
    let members = node.members.lock();
    let now = clock::now();
    let others = members
        .others()
        .filter(|member| member.record.domain == node.location.domain)
        .filter(|member| members.state_of(member, now) == MemberState::Live)
        .map(|member| member.record.name.clone());
    others.chain([node.id.name.clone()]).collect()
}

async fn poll_load(node: &Node, server: &BackendServer) -> Option<GossipLoad> {
    match node.backends.load(server.address).await {
        Ok(report) => {
            let load = gossip_load(server, &report);
            let key = LoadKey::Backend(server.name.clone());
            node.routing
                .lock()
                .view
                .record_report(key, report, MAX_REPORT_AGE, clock::now());
            Some(load)
        }
        Err(error) => {
            debug!(node.log.backends, "load report not received"; "server" => %server.name, "error" => %error);
            None
        }
    }
}

async fn poll_cache_events(node: &Node, server: &BackendServer, after: &mut Map<BackendName, u64>) {
    let from = after.get(&server.name).copied().unwrap_or_default();
    match node.backends.cache_events(server.address, from).await {
        Ok(events) => {
            after.insert(server.name.clone(), events.next);
            node.routing.lock().prefixes.apply(&server.name, &events);
        }
        // Events may be lost until the next poll, so the recorded cache contents are no longer
        // valid.
        Err(_) => node.routing.lock().prefixes.remove(&server.name),
    }
}

/// Records the new load reports that other instances polled and sent by gossip.
fn record_relayed_reports(node: &Node, relayed: &mut Map<BackendName, u64>) {
    let now = clock::now();
    let loads = node.members.lock().peer_load_reports(now);
    let mut routing = node.routing.lock();
    for load in loads {
        let last = relayed.insert(load.backend.clone(), load.sequence);
        if last == Some(load.sequence) {
            continue;
        }
        let key = LoadKey::Backend(load.backend.clone());
        routing
            .view
            .record_report(key, relayed_report(&load), MAX_RELAYED_REPORT_AGE, now);
    }
}

fn is_engine(server: &BackendServer) -> bool {
    matches!(server.kind, BackendKind::ModelEngine { .. })
}

fn gossip_load(server: &BackendServer, report: &LoadReport) -> GossipLoad {
    GossipLoad {
        backend: server.name.clone(),
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        sequence: report.sequence,
        leaving: report.leaving,
    }
}

fn relayed_report(load: &GossipLoad) -> LoadReport {
    LoadReport {
        name: load.backend.to_string(),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        servers: 1,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: ASSUMED_PREFILL_TOKENS_PER_S,
        decode_ms: ASSUMED_DECODE_MS,
        leaving: load.leaving,
        sequence: load.sequence,
    }
}
