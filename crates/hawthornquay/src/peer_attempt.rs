//! Attempt to run a request through an instance of another failure domain.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hawthornquay_backends::is_final_status;
use hawthornquay_decisions::{
    DomainName, Execution, InstanceName, LoadKey, LoadOutcome, Priority, Refusal, RefusalCode,
    RouteTarget,
};
use hawthornquay_instances::{
    Forward, ForwardEvent, ForwardHead, ForwardRefused, ForwardStream, LinkError, PeerAddress,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use slog::info;

use crate::{
    AnswerFailure, AnswerStream, AttemptFailure, Decision, LoadGuard, Node, OutboundRequest,
    RoutedAnswer, routed_answer::execution_of,
};

/// Longest time until a link accepts a forwarded request for sending.
const LINK_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time until the start of a forwarded answer if the request has no deadline.
const DEFAULT_START_TIMEOUT: Duration = Duration::from_secs(120);

/// Reason why no answer started.
enum Failure {
    /// The link failed.
    Link(LinkError),
    /// The instance refused the request.
    Refused(Refusal),
    /// No answer started in time, or the stream ended or broke the protocol.
    NoAnswer(Execution),
}

/// Forwards a request to an instance of `domain` and waits for the head and the first part of the
/// answer.
///
/// # Errors
///
/// Returns a failure that says whether the request may have run.
pub async fn forward_to_domain(
    node: &Arc<Node>,
    bundle_version: u64,
    req: &OutboundRequest,
    domain: &DomainName,
    crosses_regions: bool,
) -> Result<RoutedAnswer, AttemptFailure> {
    let key = LoadKey::Domain(domain.clone(), req.target.clone());
    let Some(peer) = node.peer_in_domain(domain) else {
        return Err(AttemptFailure::not_run(key));
    };
    record_forward(node, req, domain, &peer.name, crosses_regions);
    let load = LoadGuard::new(node, key.clone(), req.prompt_tokens);
    let _awaited = node.unread_answers.await_start(&req.target);
    match send_request(node, bundle_version, req, &peer).await {
        Ok((status, headers, body)) => {
            node.requests.set_execution(&req.id, execution_of(status));
            node.requests.record(
                &req.id,
                Decision::Answered {
                    status: status.as_u16(),
                },
            );
            Ok(RoutedAnswer {
                status,
                headers,
                body,
                load,
                crosses_regions,
            })
        }
        Err(failure) => {
            load.finish(match &failure {
                Failure::Link(error) if !error.concerns_peer() => LoadOutcome::Cancelled,
                _ => LoadOutcome::Failed,
            });
            Err(attempt_failure(node, key, &peer, failure))
        }
    }
}

fn record_forward(
    node: &Node,
    req: &OutboundRequest,
    domain: &DomainName,
    instance: &InstanceName,
    crosses_regions: bool,
) {
    let decision = Decision::Forwarded {
        instance: instance.clone(),
        domain: domain.clone(),
    };
    node.requests.record(&req.id, decision);
    node.requests.set_execution(&req.id, Execution::Unknown);
    if crosses_regions {
        node.metrics.count_cross_region_request();
        node.metrics.count_cross_region_bytes(req.body.len() as u64);
    }
}

async fn send_request(
    node: &Arc<Node>,
    bundle_version: u64,
    req: &OutboundRequest,
    peer: &PeerAddress,
) -> Result<(StatusCode, HeaderMap, AnswerStream), Failure> {
    let within = req
        .time_left()
        .unwrap_or(LINK_QUEUE_TIMEOUT)
        .min(LINK_QUEUE_TIMEOUT);
    // A frame with a copy of the body exists until it is sent, and so at most until the answer starts.
    let _frame = node.memory.charge(req.body.len());
    let mut stream = node
        .links
        .forward(peer, wire_request(bundle_version, req), within)
        .await
        .map_err(Failure::Link)?;
    let limit = req.time_left().unwrap_or(DEFAULT_START_TIMEOUT);
    let Ok(start) = tokio::time::timeout(limit, read_start(&mut stream)).await else {
        return Err(Failure::NoAnswer(stream.cancel()));
    };
    let (head, first) = start?;
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .filter(|status| is_final_status(*status))
        .unwrap_or(StatusCode::BAD_GATEWAY);
    Ok((status, wire_headers(&head), answer_stream(first, stream)))
}

async fn read_start(stream: &mut ForwardStream) -> Result<(ForwardHead, Option<Bytes>), Failure> {
    let head = match stream.next().await {
        Some(Ok(ForwardEvent::Head(head))) => head,
        Some(Ok(ForwardEvent::Refused(refused))) => {
            return Err(Failure::Refused(refusal(&refused)));
        }
        Some(Err(error)) => return Err(Failure::Link(error)),
        _ => return Err(Failure::NoAnswer(Execution::Unknown)),
    };
    match stream.next().await {
        Some(Ok(ForwardEvent::Data(data))) => Ok((head, Some(data))),
        Some(Ok(ForwardEvent::End(_))) => Ok((head, None)),
        Some(Ok(ForwardEvent::Refused(refused))) => Err(Failure::Refused(refusal(&refused))),
        Some(Err(error)) => Err(Failure::Link(error)),
        _ => Err(Failure::NoAnswer(Execution::Unknown)),
    }
}

/// Returns the body of an answer whose first part has been received.
fn answer_stream(first: Option<Bytes>, rest: ForwardStream) -> AnswerStream {
    let rest = stream::unfold(Some(rest), |state| async {
        let mut stream = state?;
        let item = match stream.next().await? {
            Ok(ForwardEvent::Data(data)) => Ok(data),
            Ok(ForwardEvent::Refused(refused)) => Err(AnswerFailure::Remote(refused.message)),
            Ok(ForwardEvent::End(_)) => return None,
            Ok(ForwardEvent::Head(_)) => Err(AnswerFailure::SecondHead),
            Err(error) => Err(AnswerFailure::Link(error)),
        };
        let next = item.is_ok().then_some(stream);
        Some((item, next))
    });
    stream::iter(first.map(Ok)).chain(rest).boxed()
}

fn attempt_failure(
    node: &Node,
    key: LoadKey,
    peer: &PeerAddress,
    failure: Failure,
) -> AttemptFailure {
    match failure {
        Failure::Refused(refusal) => {
            let execution = refusal.execution;
            AttemptFailure {
                key,
                execution,
                refusal: Some(refusal),
            }
        }
        Failure::Link(error) if !error.concerns_peer() => AttemptFailure {
            key,
            execution: error.execution(),
            refusal: Some(Refusal::not_run(
                RefusalCode::NoCapacity,
                &error.to_string(),
            )),
        },
        Failure::Link(error) => {
            info!(node.log.links, "forwarding failed"; "instance" => %peer.name, "error" => %error);
            node.members.lock().mark_unreachable(&peer.name);
            AttemptFailure::new(key, error.execution())
        }
        Failure::NoAnswer(execution) => AttemptFailure::new(key, execution),
    }
}

fn wire_request(bundle_version: u64, req: &OutboundRequest) -> Forward {
    let (model, service) = match &req.target {
        RouteTarget::Model(model) => (model.to_string(), String::new()),
        RouteTarget::Service(service) => (String::new(), service.to_string()),
    };
    let left = req.time_left().map_or(0, |left| {
        u64::try_from(left.as_millis()).unwrap_or(0).max(1)
    });
    Forward {
        request_id: req.id.to_string(),
        organisation: req.organisation.id.to_string(),
        method: req.method.to_string(),
        path: req.path.clone(),
        hop_count: 1,
        bundle_version,
        deadline_ms: left,
        batch: req.priority == Priority::Batch,
        repeatable: req.repeatable,
        model,
        service,
        prompt_tokens: req.prompt_tokens,
        cost: req.cost,
        content_type: req.content_type.clone().unwrap_or_default(),
        body: req.body.clone(),
        ..Forward::default()
    }
}

fn wire_headers(head: &ForwardHead) -> HeaderMap {
    head.headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(&header.value).ok()?))
        })
        .collect()
}

fn refusal(refused: &ForwardRefused) -> Refusal {
    let code = RefusalCode::parse(&refused.code).unwrap_or(RefusalCode::BackendFailed);
    let retry_after =
        (refused.retry_after_ms > 0).then(|| Duration::from_millis(refused.retry_after_ms));
    Refusal {
        code,
        execution: refused.confirmed_execution(),
        message: refused.message.clone(),
        retry_after,
    }
}
