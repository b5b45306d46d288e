//! Router of the HTTP API for callers.

use std::{panic::AssertUnwindSafe, pin::Pin, sync::Arc};

use gotham::{
    handler::HandlerFuture,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_router},
    state::{FromState, State, StateData},
};
use hawthornquay_decisions::{Refusal, RefusalCode, RequestId};
use hawthornquay_http::{Body, json_response};
use http::{HeaderValue, Method, Response, StatusCode, Uri, header};
use serde::Serialize;

use crate::{CallerService, RequestHead, refusal_response};

const REQUEST_ID_HEADER: &str = "x-request-id";
const REQUESTS_PREFIX: &str = "/v1/requests/";

type HandlerResult = Result<Response<Body>, Refusal>;

struct Service(AssertUnwindSafe<Arc<dyn CallerService>>);

impl Clone for Service {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

impl StateData for Service {}

/// Builds the router, which passes requests to `service`.
pub fn caller_router(service: Arc<dyn CallerService>) -> Router {
    let service = Service(AssertUnwindSafe(service));
    let refusing_service = service.clone();
    let middleware = StateMiddleware::new(service);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    let methods = [
        Method::GET,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ];
    build_router(chain, pipelines, |route| {
        route.request(methods.to_vec(), "/").to(handle);
        route.request(methods.to_vec(), "/*").to(handle);
        route.add_response_extender(
            StatusCode::METHOD_NOT_ALLOWED,
            move |_: &mut State, res: &mut Response<Body>| refuse_method(&refusing_service, res),
        );
    })
}

/// Replaces gotham's response to an unsupported method, which has no body, by a refusal.
fn refuse_method(service: &Service, res: &mut Response<Body>) {
    // A response of a plain service may have the same status, but its `Allow` header is not passed
    // on, so that only gotham's own response has one.
    if !res.headers().contains_key(header::ALLOW) {
        return;
    }
    let id = service.0.next_request_id();
    let message = "method not allowed: use GET, POST, PUT, PATCH or DELETE";
    let refusal = Refusal::not_run(RefusalCode::BadRequest, message);
    *res = with_request_id(refusal_response(&refusal, &id), &id);
}

fn with_request_id(mut res: Response<Body>, id: &RequestId) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        res.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    res
}

/// Handles every request.
///
/// The endpoints are not gotham routes, because gotham's responses to an unknown path or method
/// have no JSON body, and because the routes of plain services come from the configuration bundle.
fn handle(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let service = Arc::clone(&Service::borrow_from(&state).0);
        let id = service.next_request_id();
        let result = match RequestHead::from_state(&state, id.clone()) {
            Ok(head) => {
                let body = Body::take_from(&mut state);
                dispatch(service.as_ref(), head, body).await
            }
            Err(refusal) => Err(refusal),
        };
        let res = result.unwrap_or_else(|refusal| refusal_response(&refusal, &id));
        Ok((state, with_request_id(res, &id)))
    })
}

async fn dispatch(service: &dyn CallerService, head: RequestHead, body: Body) -> HandlerResult {
    let path = head.path().to_owned();
    match path.as_str() {
        "/v1/chat/completions" => {
            expect_method(&head, &Method::POST)?;
            service.complete(head, body).await
        }
        "/v1/models" => {
            expect_method(&head, &Method::GET)?;
            service.models(&head).map(|models| ok_response(&models))
        }
        "/v1/instances" => {
            expect_method(&head, &Method::GET)?;
            service
                .instances(&head)
                .map(|instances| ok_response(&instances))
        }
        "/v1/idempotency-keys" => {
            expect_method(&head, &Method::POST)?;
            service
                .issue_idempotency_key(&head)
                .map(|key| ok_response(&key))
        }
        _ => match path.strip_prefix(REQUESTS_PREFIX) {
            Some(id) => {
                expect_method(&head, &Method::GET)?;
                service
                    .outcome(&head, &RequestId::new(id))
                    .map(|outcome| ok_response(&outcome))
            }
            None => service.call_service(head, body).await,
        },
    }
}

fn ok_response<T: Serialize>(value: &T) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

fn expect_method(head: &RequestHead, method: &Method) -> Result<(), Refusal> {
    if head.method == *method {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::BadRequest,
        &format!(
            "method not allowed: use {method} for {}",
            Uri::path(&head.uri)
        ),
    ))
}
