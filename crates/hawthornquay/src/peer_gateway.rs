//! Handler of messages and forwarded requests of other instances.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use hawthornquay_decisions::{
    InstanceId, LoadOutcome, Organisation, Priority, Refusal, RefusalCode, RequestId, RouteTarget,
    RoutingHop,
};
use hawthornquay_instances::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardEnd, ForwardHead,
    ForwardRefused, ForwardSink, Header, LinkError, LoanGrant, LoanRequest, Notice, PeerService,
};
use http::{HeaderMap, Method};
use slog::warn;

use crate::{
    ActiveBundle, Decision, Node, OutboundRequest, RoutedAnswer, clock,
    dispatch::dispatch,
    model_request::CHAT_COMPLETIONS_PATH,
    peer_capacity::grant_capacity,
    peer_loans::lend,
    request_body::charge_forwarded_body,
    rollout_peers::{bundle_content, handle_notice},
};

/// Serves other instances, using the state of this one.
pub struct PeerGateway(pub Arc<Node>);

impl PeerService for PeerGateway {
    fn handle_refused_link(&self, error: &LinkError) {
        warn!(self.0.log.links, "link refused"; "error" => %error);
    }

    async fn handle_notice(&self, from: &InstanceId, notice: Notice) {
        handle_notice(&self.0, from, notice).await;
    }

    async fn fetch_bundle(&self, _from: &InstanceId, request: BundleFetch) -> BundleContent {
        bundle_content(&self.0, &request)
    }

    async fn lend(&self, from: &InstanceId, request: LoanRequest) -> LoanGrant {
        lend(&self.0, from, &request)
    }

    async fn grant_capacity(&self, from: &InstanceId, request: CapacityRequest) -> CapacityGrant {
        grant_capacity(&self.0, from, &request)
    }

    async fn forward(&self, from: &InstanceId, request: Forward, sink: ForwardSink) {
        let id = RequestId::new(&request.request_id);
        // The guard is held until the answer has been sent, so that a shutdown waits for it.
        let _drain = match self.0.drain.enter() {
            Ok(drain) => drain,
            Err(refusal) => {
                let _ = sink.refuse(wire_refusal(&refusal)).await;
                return;
            }
        };
        let cancelled = sink.cancelled();
        let result = cancelled
            .run_until_cancelled(run_forwarded_request(&self.0, from, request))
            .await;
        match result {
            // The sender has cancelled the request and treats its outcome as unknown.
            None => {}
            Some(Ok(answer)) => {
                // Sending stops on cancellation. Otherwise, a server that sends nothing more would
                // keep the answer open.
                let status = answer.status.as_u16();
                let sending = send_answer(answer, sink);
                let _ = cancelled.run_until_cancelled(sending).await;
                self.0.requests.close(&id, status);
            }
            Some(Err(refusal)) => {
                record_refusal(&self.0, &id, &refusal);
                let _ = sink.refuse(wire_refusal(&refusal)).await;
            }
        }
    }
}

async fn run_forwarded_request(
    node: &Arc<Node>,
    from: &InstanceId,
    request: Forward,
) -> Result<RoutedAnswer, Refusal> {
    let bundle = node.bundle.required()?;
    let mut req = check_forwarded_request(node, &bundle, request)?;
    req.body = charge_forwarded_body(req.body, &node.memory)?;
    record_arrival(node, from, &req.target);
    node.requests.open(&req.id, Some(&req.organisation.id));
    node.requests.record(
        &req.id,
        Decision::Received {
            instance: from.name.clone(),
        },
    );
    dispatch(node, &bundle, req).await
}

/// Records that a request of another region arrived and uses a grant.
///
/// A request without a grant from this instance is served as well, because another instance of this
/// failure domain may have granted it.
fn record_arrival(node: &Node, from: &InstanceId, target: &RouteTarget) {
    let region = node
        .members
        .lock()
        .get(&from.name)
        .map(|member| member.record.region.clone());
    if region.is_some_and(|region| region != node.location.region) {
        let mut routing = node.routing.lock();
        routing.grantor.record_arrival(from, target, clock::now());
    }
}

/// Checks a forwarded request against this instance's bundle, without reliance on the sender's
/// checks.
fn check_forwarded_request(
    node: &Node,
    bundle: &ActiveBundle,
    request: Forward,
) -> Result<OutboundRequest, Refusal> {
    if request.hop_count != 1 {
        return Err(not_run(
            RefusalCode::HopRefused,
            "a request is forwarded at most once",
        ));
    }
    let organisation = organisation(bundle, &request)?;
    if !organisation.residency.allows(&node.location.region) {
        return Err(not_run(
            RefusalCode::ResidencyRefused,
            "the organisation's data may not enter this region",
        ));
    }
    let target = target(&request)?;
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|_| not_run(RefusalCode::BadRequest, "the forwarded method is not valid"))?;
    let repeatable = check_repeatable(bundle, &request, &method)?;
    let arrived = clock::now();
    let deadline =
        (request.deadline_ms > 0).then(|| arrived + Duration::from_millis(request.deadline_ms));
    Ok(OutboundRequest {
        id: RequestId::new(&request.request_id),
        organisation,
        target,
        repeatable,
        method,
        path: request.path,
        content_type: (!request.content_type.is_empty()).then_some(request.content_type),
        priority: if request.batch {
            Priority::Batch
        } else {
            Priority::Interactive
        },
        prompt_tokens: request.prompt_tokens,
        prefixes: Vec::new(),
        cost: request.cost,
        hop: RoutingHop::Forwarded(request.hop_count),
        arrived,
        deadline,
        body: request.body,
    })
}

fn organisation(bundle: &ActiveBundle, request: &Forward) -> Result<Organisation, Refusal> {
    let known = bundle
        .bundle()
        .organisations
        .get(request.organisation.as_str())
        .cloned();
    known.ok_or_else(|| {
        not_run(
            RefusalCode::StaleBundle,
            "the organisation is not in this instance's bundle",
        )
    })
}

fn target(request: &Forward) -> Result<RouteTarget, Refusal> {
    match (request.model.as_str(), request.service.as_str()) {
        ("", "") => Err(not_run(
            RefusalCode::BadRequest,
            "the forwarded request has no target",
        )),
        ("", service) => Ok(RouteTarget::Service(service.into())),
        (model, _) => Ok(RouteTarget::Model(model.into())),
    }
}

/// Checks that the path belongs to the target, and returns whether the request is repeatable.
///
/// Model requests are repeatable. A service request is repeatable only if both the sender and this
/// instance's bundle say so.
fn check_repeatable(
    bundle: &ActiveBundle,
    request: &Forward,
    method: &Method,
) -> Result<bool, Refusal> {
    let path = request.path.split('?').next().unwrap_or_default();
    let repeatable = if request.model.is_empty() {
        let route = bundle.bundle().route_for(path);
        route
            .filter(|route| route.service.as_str() == request.service)
            .map(|route| request.repeatable && route.repeatable)
    } else {
        (path == CHAT_COMPLETIONS_PATH && method == Method::POST).then_some(true)
    };
    // Without this check, a faulty sender or one with another bundle could reach any path of a
    // server.
    repeatable.ok_or_else(|| {
        not_run(
            RefusalCode::RouteUnknown,
            "this instance's bundle does not serve the path with the forwarded target",
        )
    })
}

/// Sends an answer to the instance that forwarded the request.
async fn send_answer(answer: RoutedAnswer, mut sink: ForwardSink) {
    let RoutedAnswer {
        status,
        headers,
        mut body,
        load,
        ..
    } = answer;
    let head = ForwardHead {
        status: u32::from(status.as_u16()),
        headers: wire_headers(&headers),
        backend: String::new(),
    };
    if sink.head(head).await.is_err() {
        return;
    }
    while let Some(part) = body.next().await {
        let part: Bytes = match part {
            Ok(part) => part,
            Err(error) => {
                load.finish(LoadOutcome::Failed);
                let message = error.to_string();
                let refusal = Refusal::unknown(RefusalCode::BackendFailed, &message);
                let _ = sink.refuse(wire_refusal(&refusal)).await;
                return;
            }
        };
        if sink.data(part).await.is_err() {
            return;
        }
    }
    load.finish(LoadOutcome::Answered);
    let _ = sink.end(ForwardEnd::default()).await;
}

fn record_refusal(node: &Node, id: &RequestId, refusal: &Refusal) {
    node.requests
        .record(id, Decision::Refused { code: refusal.code });
    node.requests.set_execution(id, refusal.execution);
    node.requests.close(id, refusal.code.http_status());
}

fn wire_refusal(refusal: &Refusal) -> ForwardRefused {
    let mut wire = ForwardRefused::new(refusal.code.as_str(), &refusal.message, refusal.execution);
    wire.retry_after_ms = refusal.retry_after.map_or(0, |after| {
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    });
    wire
}

fn wire_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn not_run(code: RefusalCode, message: &str) -> Refusal {
    Refusal::not_run(code, message)
}
