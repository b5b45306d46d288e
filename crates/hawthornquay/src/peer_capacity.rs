//! Requests for load and capacity between failure domains.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    Bundle, DomainName, InstanceId, LoadKey, LoadReport, Residency, RouteTarget, RoutingGrant, Set,
};
use hawthornquay_instances::{CapacityGrant, CapacityRequest};

use crate::{Node, OutboundRequest, clock};

/// Number of forwarded requests that one capacity request asks for; a grant is valid for about two
/// seconds.
const REQUESTED_GRANT_SIZE: u32 = 8;

/// Time-out of a capacity request.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots assumed for a server without a report.
const ASSUMED_SLOTS_PER_SERVER: u32 = 4;

/// Prefill speed assumed for a server without a report, in tokens per second.
const ASSUMED_PREFILL_TOKENS_PER_S: f64 = 4_000.0;

/// Time between tokens assumed for a server without a report, in milliseconds.
const ASSUMED_DECODE_MS: f64 = 20.0;

/// Shortest time between two capacity requests to one failure domain for one target.
pub const CAPACITY_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Answers a capacity request to this instance's failure domain.
///
/// The grant is empty if the instance has no bundle, is shutting down, is in another failure
/// domain, or no server serves the target.
pub fn grant_capacity(node: &Node, from: &InstanceId, req: &CapacityRequest) -> CapacityGrant {
    let Some(bundle) = node.bundle.active() else {
        return CapacityGrant::default();
    };
    if node.drain.is_closing() || req.domain != node.location.domain.as_str() {
        return CapacityGrant::default();
    }
    let target = requested_target(req);
    let now = clock::now();
    let domain = &node.location.domain;
    let mut routing = node.routing.lock();
    let summary = routing
        .view
        .domain_summary(bundle.bundle(), domain, &target, now);
    let summary = summary.or_else(|| assumed_summary(bundle.bundle(), domain, &target));
    let Some(summary) = summary else {
        return CapacityGrant::default();
    };
    let grant = routing
        .grantor
        .grant(from, domain, &target, req.requests, &summary, now);
    CapacityGrant {
        requests: grant.requests,
        valid_ms: u64::try_from(grant.valid_for.as_millis()).unwrap_or(0),
        running: summary.running,
        waiting: summary.waiting,
        slots: summary.slots,
        servers: summary.servers,
        prefill_tokens_per_s: summary.prefill_tokens_per_s,
        decode_ms: summary.decode_ms,
    }
}

/// Returns a summary with cautious values if no server has a load report.
///
/// Such servers may still serve requests. Returns `None` if no server serves the target.
fn assumed_summary(
    bundle: &Bundle,
    domain: &DomainName,
    target: &RouteTarget,
) -> Option<LoadReport> {
    let serving = bundle
        .backends
        .values()
        .filter(|server| server.domain == *domain);
    let servers = serving.filter(|server| server.serves(target)).count();
    let servers = u32::try_from(servers).ok().filter(|&servers| servers > 0)?;
    Some(LoadReport {
        name: domain.to_string(),
        running: 0,
        waiting: 0,
        slots: servers * ASSUMED_SLOTS_PER_SERVER,
        servers,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: ASSUMED_PREFILL_TOKENS_PER_S,
        decode_ms: ASSUMED_DECODE_MS,
        leaving: false,
        sequence: 0,
    })
}

/// Requests load and capacity from the other failure domains that may run a request.
///
/// Failure domains to which a request was sent within [`CAPACITY_REQUEST_INTERVAL`] are skipped.
pub async fn request_capacity(node: &Arc<Node>, bundle: &Bundle, req: &OutboundRequest) {
    let domains = other_domains(node, bundle, &req.organisation.residency, &req.target);
    let due = domains
        .into_iter()
        .filter(|domain| start_capacity_request(node, domain, &req.target));
    let due: Vec<DomainName> = due.collect();
    join_all(
        due.iter()
            .map(|domain| request_capacity_from(node, domain, &req.target)),
    )
    .await;
}

/// Returns the other failure domains with a server for the target that the residency allows.
fn other_domains(
    node: &Node,
    bundle: &Bundle,
    residency: &Residency,
    target: &RouteTarget,
) -> Set<DomainName> {
    bundle
        .backends
        .values()
        .filter(|server| server.domain != node.location.domain && server.serves(target))
        .filter(|server| {
            bundle
                .region_of(&server.domain)
                .is_some_and(|region| residency.allows(region))
        })
        .map(|server| server.domain.clone())
        .collect()
}

/// Returns whether a capacity request is due, and if so, records it as sent.
fn start_capacity_request(node: &Node, domain: &DomainName, target: &RouteTarget) -> bool {
    let now = clock::now();
    let mut requested_at = node.capacity_requested_at.lock();
    requested_at.retain(|_, at| now.since(*at) < CAPACITY_REQUEST_INTERVAL);
    requested_at
        .insert((domain.clone(), target.clone()), now)
        .is_none()
}

async fn request_capacity_from(node: &Arc<Node>, domain: &DomainName, target: &RouteTarget) {
    let Some(peer) = node.peer_in_domain(domain) else {
        return;
    };
    let requested_at = clock::now();
    let answer = node
        .links
        .call(&peer, capacity_request(domain, target), CALL_TIMEOUT)
        .await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            if error.concerns_peer() {
                node.members.lock().mark_unreachable(&peer.name);
            }
            return;
        }
    };
    if answer.servers == 0 {
        return;
    }
    let now = clock::now();
    let mut routing = node.routing.lock();
    let key = LoadKey::Domain(domain.clone(), target.clone());
    routing.view.record_report(
        key,
        domain_report(domain, &answer, now.0),
        now.since(requested_at),
        now,
    );
    let grant = RoutingGrant {
        domain: domain.clone(),
        target: target.clone(),
        requests: answer.requests,
        valid_for: Duration::from_millis(answer.valid_ms),
    };
    routing.grants.add(grant, requested_at);
}

fn domain_report(domain: &DomainName, answer: &CapacityGrant, sequence: u64) -> LoadReport {
    LoadReport {
        name: domain.to_string(),
        running: answer.running,
        waiting: answer.waiting,
        slots: answer.slots,
        servers: answer.servers,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: answer.prefill_tokens_per_s,
        decode_ms: answer.decode_ms,
        leaving: false,
        sequence,
    }
}

fn requested_target(req: &CapacityRequest) -> RouteTarget {
    match req.model.as_str() {
        "" => RouteTarget::Service(req.service.as_str().into()),
        model => RouteTarget::Model(model.into()),
    }
}

fn capacity_request(domain: &DomainName, target: &RouteTarget) -> CapacityRequest {
    let (model, service) = match target {
        RouteTarget::Model(model) => (model.to_string(), String::new()),
        RouteTarget::Service(service) => (String::new(), service.to_string()),
    };
    CapacityRequest {
        model,
        service,
        domain: domain.to_string(),
        requests: REQUESTED_GRANT_SIZE,
    }
}
