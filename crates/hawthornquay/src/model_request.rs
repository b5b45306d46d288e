//! Requests of callers to models.

use std::sync::Arc;

use hawthornquay_callers::RequestHead;
use hawthornquay_decisions::{Execution, Refusal, RouteTarget, RoutingHop};
use hawthornquay_http::Body;
use http::{Method, Response};

use crate::{
    Admission, AnswerContext, ChatBody, LimitGuard, Node, OutboundRequest, RunningRequest,
    Settlement, burst_check::check_burst, clock, dispatch::dispatch, metered_response,
    request_body::read_request_body,
};

/// Path of chat requests on model engines.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Runs a model request of a caller.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run.
pub async fn complete(
    node: &Arc<Node>,
    head: RequestHead,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let drain = node.drain.enter()?;
    let running = RunningRequest::begin(node)?;
    let arrived = clock::now();
    let admission = Admission::by_key(node, &head.id, head.key.as_ref())?;
    let body = read_request_body(body, &node.memory).await?;
    let chat = ChatBody::parse(body, &node.memory).await?;
    let tokens = chat.prompt_tokens + chat.output_tokens;
    check_burst(&admission.organisation, tokens, "lower `max_tokens`")?;
    let organisation = admission.organisation.id.clone();
    let deadline = head.deadline.map(|left| arrived + left);
    let mut limit = LimitGuard::reserve(node, &head.id, &organisation, tokens, deadline).await?;
    let prompt_tokens = chat.prompt_tokens;
    // The engine processes the prompt even if the caller disconnects before the answer.
    limit.set_used_tokens(prompt_tokens);
    let req = outbound(&head, &admission, chat, arrived);
    let target = req.target.clone();
    match dispatch(node, &admission.bundle, req).await {
        Ok(answer) => {
            let context = AnswerContext {
                node: Arc::clone(node),
                id: head.id,
                target,
                organisation,
                arrived,
                limit,
                settlement: Settlement::ByUse { prompt_tokens },
                drain,
                running,
            };
            Ok(metered_response(answer, context))
        }
        Err(refusal) => {
            match refusal.execution {
                Execution::NotRun => limit.settle(0),
                Execution::Unknown | Execution::Ran => limit.charge(),
            }
            Err(refusal)
        }
    }
}

fn outbound(
    head: &RequestHead,
    admission: &Admission,
    chat: ChatBody,
    arrived: hawthornquay_decisions::MonotonicTime,
) -> OutboundRequest {
    OutboundRequest {
        id: head.id.clone(),
        organisation: admission.organisation.clone(),
        prefixes: chat.prefixes,
        target: RouteTarget::Model(chat.model),
        repeatable: true,
        method: Method::POST,
        path: CHAT_COMPLETIONS_PATH.to_owned(),
        content_type: Some("application/json".to_owned()),
        priority: head.priority,
        prompt_tokens: chat.prompt_tokens,
        cost: chat.prompt_tokens + chat.output_tokens,
        hop: RoutingHop::Caller,
        arrived,
        deadline: head.deadline.map(|left| arrived + left),
        body: chat.body,
    }
}
