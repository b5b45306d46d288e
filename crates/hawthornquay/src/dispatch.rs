//! Attempts of a request at backend servers and other instances.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BackendName, Bundle, DomainName, LoadKey, QueueEntry, Refusal, RefusalCode, RetryDecision,
    RetryState, RoutingDecision, RoutingRequest, RoutingSnapshot, decide_route,
};

use crate::{
    ActiveBundle, AttemptFailure, Decision, Node, OutboundRequest, RoutedAnswer,
    backend_attempt::call_backend, clock, peer_attempt::forward_to_domain,
};

/// Decides and attempts until an answer arrives or the request is refused.
///
/// # Errors
///
/// Returns a refusal whose execution covers all attempts.
pub async fn dispatch(
    node: &Arc<Node>,
    bundle: &ActiveBundle,
    req: &OutboundRequest,
) -> Result<RoutedAnswer, Refusal> {
    let mut retry = RetryState::new(req.repeatable);
    let mut has_turn = false;
    loop {
        let decision = route(node, bundle.bundle(), req, &retry, has_turn);
        has_turn = false;
        let failure = match decision {
            RoutingDecision::Call(backend) => attempt_backend(node, bundle, req, &backend).await,
            RoutingDecision::Forward(domain) => attempt_domain(node, bundle, req, &domain).await,
            RoutingDecision::Wait => {
                wait_for_turn(node, req).await.map_err(|refusal| retry.refusal(refusal))?;
                has_turn = true;
                continue;
            }
            RoutingDecision::Refuse(refusal) => return Err(retry.refusal(refusal)),
        };
        let failure = match failure {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        record_failure(node, req, &failure);
        if let Some(refusal) = failure.refusal.filter(|refusal| is_final(refusal.code)) {
            return Err(retry.refusal(refusal));
        }
        let mut routing = node.routing.lock();
        let next = retry.failed(failure.key, failure.execution, req.time_left(), &mut routing.retries);
        if let RetryDecision::GiveUp(refusal) = next {
            return Err(refusal);
        }
    }
}

fn route(
    node: &Node,
    bundle: &Bundle,
    req: &OutboundRequest,
    retry: &RetryState,
    has_turn: bool,
) -> RoutingDecision {
    let queue_wait = match has_turn {
        true => Duration::ZERO,
        false => node.queue.expected_wait(&req.organisation.id, req.priority),
    };
    let mut routing = node.routing.lock();
    let now = clock::now();
    let snapshot = RoutingSnapshot {
        bundle,
        view: &routing.view,
        prefixes: &routing.prefixes,
        grants: &routing.grants,
        place: &node.place,
        queue_wait,
        now,
    };
    let request = RoutingRequest {
        target: &req.target,
        residency: &req.organisation.residency,
        priority: req.priority,
        prompt_tokens: req.prompt_tokens,
        prefixes: &req.prefixes,
        hop: req.hop,
        tried: retry.tried(),
        deadline_left: req.time_left(),
    };
    let decision = decide_route(&snapshot, &request, rand::random());
    if let RoutingDecision::Forward(domain) = &decision
        && bundle.region_of(domain) != Some(&node.place.region)
        && !routing.grants.spend(domain, &req.target, now)
    {
        return RoutingDecision::Wait;
    }
    decision
}

async fn attempt_backend(
    node: &Arc<Node>,
    bundle: &ActiveBundle,
    req: &OutboundRequest,
    backend: &BackendName,
) -> Result<RoutedAnswer, AttemptFailure> {
    node.requests.record(&req.id, Decision::Chosen { backend: backend.clone() });
    let Some(server) = bundle.bundle().backends.get(backend) else {
        return Err(AttemptFailure::not_run(LoadKey::Backend(backend.clone())));
    };
    call_backend(node, req, server).await
}

async fn attempt_domain(
    node: &Arc<Node>,
    bundle: &ActiveBundle,
    req: &OutboundRequest,
    domain: &DomainName,
) -> Result<RoutedAnswer, AttemptFailure> {
    let crosses_regions = bundle.bundle().region_of(domain) != Some(&node.place.region);
    forward_to_domain(node, bundle.version(), req, domain, crosses_regions).await
}

async fn wait_for_turn(node: &Node, req: &OutboundRequest) -> Result<(), Refusal> {
    let waiter = QueueEntry {
        organisation: req.organisation.id.clone(),
        priority: req.priority,
        cost: req.cost,
        since: req.arrived,
        item: (),
    };
    let weight = req.organisation.rate.max(1) as f64;
    let began = clock::now();
    let turn = node.queue.wait(waiter, weight);
    let result = match req.time_left() {
        Some(left) => tokio::time::timeout(left, turn).await.unwrap_or_else(|_| Err(late())),
        None => turn.await,
    };
    let ms = u64::try_from(clock::now().since(began).as_millis()).unwrap_or(u64::MAX);
    node.requests.record(&req.id, Decision::Waited { ms });
    result
}

fn late() -> Refusal {
    Refusal::not_run(RefusalCode::DeadlineExceeded, "the deadline passed before a server was free")
}

/// Returns whether another server would give the same refusal.
const fn is_final(code: RefusalCode) -> bool {
    matches!(code, RefusalCode::ResidencyRefused | RefusalCode::HopRefused)
}

fn record_failure(node: &Node, req: &OutboundRequest, failure: &AttemptFailure) {
    node.requests.set_execution(&req.id, failure.execution);
    node.requests.record(
        &req.id,
        Decision::AttemptFailed { at: failure.at(), execution: failure.execution },
    );
}
