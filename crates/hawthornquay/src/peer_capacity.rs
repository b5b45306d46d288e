//! Load of other failure domains and the capacity that they grant.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    Bundle, DomainName, InstanceId, LoadKey, LoadReport, Residency, RouteTarget, RoutingGrant, Set,
};
use hawthornquay_instances::{CapacityGrant, CapacityRequest};

use crate::{Node, OutboundRequest, clock};

/// Requests asked for at once; a grant holds for about two seconds.
const REQUESTS_PER_GRANT: u32 = 8;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots assumed for a server without a report.
const ASSUMED_SLOTS: u32 = 4;

/// Prefill speed assumed for a server without a report, in tokens per second.
const ASSUMED_PREFILL: f64 = 4_000.0;

/// Time between tokens assumed for a server without a report, in milliseconds.
const ASSUMED_DECODE_MS: f64 = 20.0;

/// Shortest time between two questions to one domain about one target.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Answers a question about this instance's domain.
pub fn grant_capacity(node: &Node, from: &InstanceId, req: &CapacityRequest) -> CapacityGrant {
    let Some(bundle) = node.bundle.active() else {
        return CapacityGrant::default();
    };
    if node.drain.is_closing() || req.domain != node.location.domain.as_str() {
        return CapacityGrant::default();
    }
    let target = read_target(req);
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

/// Returns a cautious summary of servers whose reports fail; they may still serve.
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
        slots: servers * ASSUMED_SLOTS,
        servers,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: ASSUMED_PREFILL,
        decode_ms: ASSUMED_DECODE_MS,
        leaving: false,
        sequence: 0,
    })
}

/// Asks the other domains that may run a request for their load, unless that was done just now.
pub async fn ask_domains(node: &Arc<Node>, bundle: &Bundle, req: &OutboundRequest) {
    let domains = other_domains(node, bundle, &req.organisation.residency, &req.target);
    let asks = domains
        .into_iter()
        .filter(|domain| may_ask(node, domain, &req.target));
    let asks: Vec<DomainName> = asks.collect();
    join_all(
        asks.iter()
            .map(|domain| ask_domain(node, domain, &req.target)),
    )
    .await;
}

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

fn may_ask(node: &Node, domain: &DomainName, target: &RouteTarget) -> bool {
    let now = clock::now();
    let mut asked = node.asked_domains.lock();
    asked.retain(|_, at| now.since(*at) < ASK_INTERVAL);
    asked
        .insert((domain.clone(), target.clone()), now)
        .is_none()
}

async fn ask_domain(node: &Arc<Node>, domain: &DomainName, target: &RouteTarget) {
    let Some(peer) = node.peer_in_domain(domain) else {
        return;
    };
    let asked_at = clock::now();
    let Ok(answer) = node
        .links
        .call(&peer, write_target(domain, target), CALL_TIMEOUT)
        .await
    else {
        node.members.lock().mark_unreachable(&peer.name);
        return;
    };
    if answer.servers == 0 {
        return;
    }
    let now = clock::now();
    let mut routing = node.routing.lock();
    let key = LoadKey::Domain(domain.clone(), target.clone());
    routing.view.record_report(
        key,
        read_report(domain, &answer, now.0),
        now.since(asked_at),
        now,
    );
    let grant = RoutingGrant {
        domain: domain.clone(),
        target: target.clone(),
        requests: answer.requests,
        valid_for: Duration::from_millis(answer.valid_ms),
    };
    routing.grants.add(grant, asked_at);
}

fn read_report(domain: &DomainName, answer: &CapacityGrant, sequence: u64) -> LoadReport {
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

fn read_target(req: &CapacityRequest) -> RouteTarget {
    match req.model.as_str() {
        "" => RouteTarget::Service(req.service.as_str().into()),
        model => RouteTarget::Model(model.into()),
    }
}

fn write_target(domain: &DomainName, target: &RouteTarget) -> CapacityRequest {
    let (model, service) = match target {
        RouteTarget::Model(model) => (model.to_string(), String::new()),
        RouteTarget::Service(service) => (String::new(), service.to_string()),
    };
    CapacityRequest {
        model,
        service,
        domain: domain.to_string(),
        requests: REQUESTS_PER_GRANT,
    }
}
