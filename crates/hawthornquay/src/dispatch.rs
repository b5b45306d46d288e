//! Attempts of a request at backend servers and other instances.

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
    peer_capacity::{ASK_INTERVAL, ask_domains},
    route_choice::choose_route,
};

/// Decides and attempts until an answer arrives or the request is refused.
///
/// # Errors
///
/// Returns a refusal whose execution covers all attempts.
pub async fn dispatch(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: OutboundRequest,
) -> Result<RoutedAnswer, Refusal> {
    let req = &Arc::new(req);
    let mut retry = RetryState::new(req.repeatable);
    let mut has_turn = false;
    let mut known = Execution::NotRun;
    loop {
        let queue_wait = match has_turn {
            true => Duration::ZERO,
            false => node.queue.expected_wait(req),
        };
        has_turn = false;
        let mut decision = choose_route(node, bundle.bundle(), req, retry.tried(), queue_wait);
        if decision == RoutingDecision::Wait && req.hop == RoutingHop::Caller {
            ask_domains(node, bundle.bundle(), req).await;
            decision = choose_route(node, bundle.bundle(), req, retry.tried(), queue_wait);
        }
        let failure = match decision {
            RoutingDecision::Call(backend) => attempt_backend(node, bundle, req, &backend).await,
            RoutingDecision::Forward(domain) => attempt_domain(node, bundle, req, &domain).await,
            RoutingDecision::Wait => {
                wait_for_turn(node, bundle, req, retry.tried())
                    .await
                    .map_err(|refusal| retry.with_known_execution(refusal))?;
                has_turn = true;
                continue;
            }
            RoutingDecision::Refuse(refusal) => return Err(retry.with_known_execution(refusal)),
        };
        let failure = match failure {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        known = after(known, failure.execution);
        record_failure(node, req, &failure, known);
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

async fn wait_for_turn(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: &Arc<OutboundRequest>,
    tried: &[LoadKey],
) -> Result<(), Refusal> {
    let began = clock::now();
    let turn = turn_or_news(node, bundle, req, tried);
    let result = match req.time_left() {
        Some(left) => tokio::time::timeout(left, turn)
            .await
            .unwrap_or_else(|_| Err(late())),
        None => turn.await,
    };
    let ms = u64::try_from(clock::now().since(began).as_millis()).unwrap_or(u64::MAX);
    node.requests.record(&req.id, Decision::Waited { ms });
    result
}

/// Waits for a turn, and meanwhile asks other domains whether they have become free.
async fn turn_or_news(
    node: &Arc<Node>,
    bundle: &Arc<ActiveBundle>,
    req: &Arc<OutboundRequest>,
    tried: &[LoadKey],
) -> Result<(), Refusal> {
    let turn = node.queue.wait(req, bundle, tried);
    tokio::pin!(turn);
    loop {
        tokio::select! {
            turn = &mut turn => return turn,
            () = tokio::time::sleep(ASK_INTERVAL), if req.hop == RoutingHop::Caller => {
                ask_domains(node, bundle.bundle(), req).await;
                node.queue.signal_free();
            }
        }
    }
}

fn late() -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineExceeded,
        "the deadline passed before a server was free",
    )
}

/// Returns whether another server would give the same refusal.
const fn is_final(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::ResidencyRefused | RefusalCode::HopRefused
    )
}

/// Returns what is known after one more failed attempt.
///
/// A later attempt that did not run does not prove that an earlier one did not either.
const fn after(known: Execution, attempt: Execution) -> Execution {
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
            at: failure.at(),
            execution: failure.execution,
        },
    );
}
