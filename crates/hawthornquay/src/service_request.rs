//! Requests of callers to plain services.

use std::sync::Arc;

use bytes::Bytes;
use hawthornquay_callers::RequestHead;
use hawthornquay_decisions::{
    Execution, IdempotencyKeyRequirement, MonotonicTime, Refusal, RefusalCode, RouteTarget,
    RoutingHop, ServiceRoute,
};
use hawthornquay_http::Body;
use http::Response;

use crate::{
    Admission, AnswerContext, Claim, DrainGuard, LimitGuard, Node, OutboundRequest, RunningRequest,
    Settlement, burst_check::check_burst, clock, dispatch::dispatch, metered_response,
    request_body::read_request_body, routed_answer::execution_of,
};

/// Runs a request of a caller to a plain service.
///
/// The request continues after a disconnect of the caller, so that its outcome is recorded in the
/// claim.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub async fn call_service(
    node: &Arc<Node>,
    head: RequestHead,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let drain = node.drain.enter()?;
    let running = RunningRequest::begin(node)?;
    let arrived = clock::now();
    let bundle = node.bundle.required()?;
    let route = bundle
        .bundle()
        .route_for(head.path())
        .cloned()
        .ok_or_else(|| unknown_path(&head))?;
    let admission = match &route.anonymous_organisation {
        Some(organisation) if head.key.is_none() => {
            Admission::by_open_route(node, &head.id, bundle, organisation)?
        }
        _ => Admission::by_key(node, &head.id, head.key.as_ref())?,
    };
    if route.idempotency_key == IdempotencyKeyRequirement::Required
        && head.idempotency_key.is_none()
    {
        return Err(key_required(&route));
    }
    let body = read_request_body(body, &node.memory).await?;
    let req = outbound(&head, &admission, &route, body, arrived);
    let node = Arc::clone(node);
    let run = tokio::spawn(async move {
        let claim = Claim::take(
            &node,
            &req,
            head.idempotency_key.as_deref(),
            &admission.bundle,
        )
        .await?;
        let result = run(&node, req, &admission, arrived, (drain, running)).await;
        let execution = match &result {
            Ok(answer) => execution_of(answer.status()),
            Err(refusal) => refusal.execution,
        };
        claim.finish(&node, execution).await;
        result
    });
    run.await.unwrap_or_else(|_| Err(internal_failure()))
}

async fn run(
    node: &Arc<Node>,
    req: OutboundRequest,
    admission: &Admission,
    arrived: MonotonicTime,
    (drain, running): (DrainGuard, RunningRequest),
) -> Result<Response<Body>, Refusal> {
    let organisation = admission.organisation.id.clone();
    let id = req.id.clone();
    let remedy = "lower the route's `cost`";
    check_burst(&admission.organisation, req.cost, remedy)?;
    let limit = LimitGuard::reserve(node, &id, &organisation, req.cost, req.deadline).await?;
    let target = req.target.clone();
    match dispatch(node, &admission.bundle, req).await {
        Ok(answer) => {
            let context = AnswerContext {
                node: Arc::clone(node),
                id,
                target,
                organisation,
                arrived,
                limit,
                settlement: Settlement::InFull,
                drain,
                running,
            };
            Ok(metered_response(answer, context))
        }
        Err(refusal) => {
            if refusal.execution != Execution::NotRun {
                limit.charge();
            }
            Err(refusal)
        }
    }
}

fn outbound(
    head: &RequestHead,
    admission: &Admission,
    route: &ServiceRoute,
    body: Bytes,
    arrived: MonotonicTime,
) -> OutboundRequest {
    let path = head
        .uri
        .path_and_query()
        .map_or(head.path(), |path| path.as_str());
    OutboundRequest {
        id: head.id.clone(),
        organisation: admission.organisation.clone(),
        target: RouteTarget::Service(route.service.clone()),
        repeatable: route.repeatable,
        method: head.method.clone(),
        path: path.to_owned(),
        content_type: head.content_type.clone(),
        priority: head.priority,
        prompt_tokens: 0,
        prefixes: Vec::new(),
        cost: route.cost_tokens,
        hop: RoutingHop::Caller,
        arrived,
        deadline: head.deadline.map(|left| arrived + left),
        body,
    }
}

fn unknown_path(head: &RequestHead) -> Refusal {
    Refusal::not_run(
        RefusalCode::RouteUnknown,
        &format!("nothing is served at {}; check the path", head.path()),
    )
}

fn key_required(route: &ServiceRoute) -> Refusal {
    Refusal::not_run(
        RefusalCode::IdempotencyKeyRequired,
        &format!("{} needs the header `Idempotency-Key`", route.path),
    )
}

fn internal_failure() -> Refusal {
    Refusal::unknown(
        RefusalCode::BackendFailed,
        "the request failed inside the gateway; ask for the outcome with the request id",
    )
}
