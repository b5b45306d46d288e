//! Attempts to run a request on backend servers and through other instances.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BackendName, DomainName, Execution, LoadKey, Refusal, RefusalCode, RetryDecision, RetryState,
    RoutingDecision, RoutingHop,
};

use crate::{
    ActiveBundle, AttemptFailure, Decision, Node, OutboundRequest, RoutedAnswer,
    backend_attempt::call_backend,
    clock,
    peer_attempt::forward_to_domain,
    peer_capacity::{CAPACITY_REQUEST_INTERVAL, request_capacity},
    route_choice::choose_route,
};

/// Routes a request and attempts to run it until an answer arrives or the request is refused.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run in any of the attempts.
pub async fn dispatch(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: OutboundRequest,
) -> Result<RoutedAnswer, Refusal> {
    let req = &Arc::new(req);
    let mut retry = RetryState::new(req.repeatable);
    let mut was_woken = false;
    let mut known_execution = Execution::NotRun;
    loop {
        let queue_wait = match was_woken {
            true => Duration::ZERO,
            false => node.queue.expected_wait(req),
        };
        was_woken = false;
        let mut decision = choose_route(node, bundle.bundle(), req, retry.tried(), queue_wait);
        if decision == RoutingDecision::Wait && req.hop == RoutingHop::Caller {
            request_capacity(node, bundle.bundle(), req).await;
            decision = choose_route(node, bundle.bundle(), req, retry.tried(), queue_wait);
        }
        let result = match decision {
            RoutingDecision::Call(backend) => attempt_backend(node, bundle, req, &backend).await,
            RoutingDecision::Forward(domain) => attempt_domain(node, bundle, req, &domain).await,
            RoutingDecision::Wait => {
                wait_in_queue(node, bundle, req, retry.tried())
                    .await
                    .map_err(|refusal| retry.with_known_execution(refusal))?;
                was_woken = true;
                continue;
            }
            RoutingDecision::Refuse(refusal) => return Err(retry.with_known_execution(refusal)),
        };
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        known_execution = combined_execution(known_execution, failure.execution);
        record_failure(node, req, &failure, known_execution);
        if let Some(refusal) = failure.refusal.filter(|refusal| is_final(refusal.code)) {
            return Err(retry.with_known_execution(refusal));
        }
        let mut routing = node.routing.lock();
        let next = retry.record_failure(
            failure.key,
            failure.execution,
            req.time_left(),
            &mut routing.retries,
        );
        if let RetryDecision::GiveUp(refusal) = next {
            return Err(refusal);
        }
    }
}

async fn attempt_backend(
    node: &Arc<Node>,
    bundle: &ActiveBundle,
    req: &OutboundRequest,
    backend: &BackendName,
) -> Result<RoutedAnswer, AttemptFailure> {
    node.requests.record(
        &req.id,
        Decision::Chosen {
            backend: backend.clone(),
        },
    );
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
    let crosses_regions = bundle.bundle().region_of(domain) != Some(&node.location.region);
    forward_to_domain(node, bundle.version(), req, domain, crosses_regions).await
}

async fn wait_in_queue(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: &Arc<OutboundRequest>,
    tried: &[LoadKey],
) -> Result<(), Refusal> {
    let began = clock::now();
    let wait = wait_and_request_capacity(node, bundle, req, tried);
    let result = match req.time_left() {
        Some(left) => tokio::time::timeout(left, wait)
            .await
            .unwrap_or_else(|_| Err(deadline_exceeded())),
        None => wait.await,
    };
    let ms = u64::try_from(clock::now().since(began).as_millis()).unwrap_or(u64::MAX);
    node.requests.record(&req.id, Decision::Waited { ms });
    result
}

/// Waits in the queue, and meanwhile requests capacity from other failure domains at intervals.
async fn wait_and_request_capacity(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: &Arc<OutboundRequest>,
    tried: &[LoadKey],
) -> Result<(), Refusal> {
    let wait = node.queue.wait(req, bundle, tried);
    tokio::pin!(wait);
    loop {
        tokio::select! {
            result = &mut wait => return result,
            () = tokio::time::sleep(CAPACITY_REQUEST_INTERVAL), if req.hop == RoutingHop::Caller => {
                request_capacity(node, bundle.bundle(), req).await;
                node.queue.signal_server_free();
            }
        }
    }
}

fn deadline_exceeded() -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineExceeded,
        "the deadline passed before a backend server was free",
    )
}

/// Returns whether a retry elsewhere is pointless, because any instance would refuse the request.
const fn is_final(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::ResidencyRefused | RefusalCode::HopRefused
    )
}

/// Returns what is known about the execution after another failed attempt.
///
/// If the request may have run in an earlier attempt, a later attempt that did not run it changes
/// nothing.
const fn combined_execution(known: Execution, attempt: Execution) -> Execution {
    match known {
        Execution::NotRun => attempt,
        Execution::Unknown | Execution::Ran => known,
    }
}

fn record_failure(node: &Node, req: &OutboundRequest, failure: &AttemptFailure, known: Execution) {
    node.requests.set_execution(&req.id, known);
    node.requests.record(
        &req.id,
        Decision::AttemptFailed {
            at: failure.target_name(),
            execution: failure.execution,
        },
    );
}
