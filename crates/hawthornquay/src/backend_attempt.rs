//! Attempt to run a request on a backend server of this instance's failure domain.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream, stream::BoxStream};
use hawthornquay_backends::{BackendError, BackendRequest};
use hawthornquay_decisions::{BackendServer, Execution, LoadKey, LoadOutcome, RouteTarget};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use slog::info;

use crate::{
    AnswerFailure, AnswerStream, AttemptFailure, Decision, LoadGuard, Node, OutboundRequest,
    RoutedAnswer, routed_answer::execution_of, stream_end::check_stream_end,
};

/// Sends a request to a backend server and waits for the head and the first part of its answer.
///
/// # Errors
///
/// Returns a failure that says whether the server may have run the request.
pub async fn call_backend(
    node: &Arc<Node>,
    req: &OutboundRequest,
    server: &BackendServer,
) -> Result<RoutedAnswer, AttemptFailure> {
    let key = LoadKey::Backend(server.name.clone());
    let load = LoadGuard::new(node, key.clone(), req.prompt_tokens);
    let _awaited = node.unread_answers.await_start(&req.target);
    match send_request(node, req, server).await {
        Ok((status, _, _)) if is_engine_refusal(req, status) => {
            load.finish(LoadOutcome::RefusedLeaving);
            Err(AttemptFailure::not_run(key))
        }
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
                crosses_regions: false,
            })
        }
        Err(error) => {
            info!(node.log.backends, "call failed"; "server" => %server.name, "error" => %error);
            load.finish(LoadOutcome::Failed);
            Err(AttemptFailure::new(key, error.execution()))
        }
    }
}

async fn send_request(
    node: &Arc<Node>,
    req: &OutboundRequest,
    server: &BackendServer,
) -> Result<(StatusCode, HeaderMap, AnswerStream), BackendError> {
    // A used connection may deliver a second copy of the response to its former request, and nothing
    // in a response says to which request it belongs.
    let connection = node.backends.connect_fresh(server.address).await?;
    // The request may run from here on. The log entry must not state `not-run` in the meantime.
    node.requests.set_execution(&req.id, Execution::Unknown);
    let answer = connection.send(backend_request(req)).await?;
    let (status, headers) = (answer.head.status, answer_headers(&answer.head.headers));
    let is_stream = req.method != Method::HEAD && status == StatusCode::OK && is_stream(&headers);
    let body = if is_stream && answer.body.ends_with_connection() {
        check_stream_end(answer.body, server.address).boxed()
    } else {
        answer.body.boxed()
    };
    let body = wait_for_first_part(body).await?;
    Ok((status, headers, body))
}

async fn wait_for_first_part(
    mut body: BoxStream<'static, Result<Bytes, BackendError>>,
) -> Result<AnswerStream, BackendError> {
    let first = body.next().await.transpose()?;
    let first = stream::iter(first.map(Ok));
    Ok(first.chain(body.map_err(AnswerFailure::from)).boxed())
}

fn backend_request(req: &OutboundRequest) -> BackendRequest {
    let mut headers = HeaderMap::new();
    let content_type = req.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(value)) = content_type {
        headers.insert(header::CONTENT_TYPE, value);
    }
    let mut outbound = BackendRequest::new(req.method.clone(), &req.path)
        .caller_headers(&headers)
        .request_id(&req.id)
        .priority(req.priority)
        .body(req.body.clone());
    if let Some(left) = req.time_left() {
        outbound = outbound.head_timeout(left);
    }
    outbound
}

/// Returns whether a model engine refused the request because it is shutting down or overloaded.
///
/// A 503 from a plain service is passed to the caller, because it does not prove that the request
/// was not run.
fn is_engine_refusal(req: &OutboundRequest, status: StatusCode) -> bool {
    matches!(req.target, RouteTarget::Model(_)) && status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns whether the answer is a stream of server-sent events.
fn is_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE);
    media_type.is_some_and(|value| {
        let name = value.as_bytes().split(|byte| *byte == b';').next();
        name.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
    })
}

/// Returns those headers of a backend server's answer that are passed to the caller.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    [
        header::CONTENT_TYPE,
        header::CONTENT_ENCODING,
        header::LOCATION,
        header::RETRY_AFTER,
    ]
    .into_iter()
    .filter_map(|name| headers.get(&name).cloned().map(|value| (name, value)))
    .collect()
}
