//! HTTP interface of an instance for operators.

use std::{panic::AssertUnwindSafe, sync::Arc};

use bytes::Bytes;
use gotham::{
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_router},
    state::{FromState, State, StateData},
};
use hawthornquay_decisions::RequestId;
use hawthornquay_http::{Body, empty_response, json_response};
use http::{HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};

use crate::{FleetReport, Node};

/// Path prefix of the decisions about a request; the identifier follows.
const EXPLAIN_PREFIX: &str = "/requests/";

struct Shared(AssertUnwindSafe<Arc<Node>>);

impl Clone for Shared {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

impl StateData for Shared {}

/// Returns the router of the interface for operators.
pub fn operator_router(node: Arc<Node>) -> Router {
    let middleware = StateMiddleware::new(Shared(AssertUnwindSafe(node)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/health").to(health);
        route.get("/ready").to(ready);
        route.get("/metrics").to(metrics);
        route.get("/fleet").to(fleet);
        route.get("/requests/*").to(explain);
    })
}

fn node(state: &State) -> Arc<Node> {
    Arc::clone(&Shared::borrow_from(state).0)
}

fn health(state: State) -> (State, Response<Body>) {
    (state, empty_response(StatusCode::OK))
}

fn ready(state: State) -> (State, Response<Body>) {
    let node = node(&state);
    let is_ready = node.bundle.active().is_some() && !node.drain.is_closing();
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (state, empty_response(status))
}

fn metrics(state: State) -> (State, Response<Body>) {
    let node = node(&state);
    node.metrics.set_in_flight(node.drain.in_flight());
    node.metrics.set_client_memory(node.memory.used());
    let res = match node.metrics.encode() {
        Ok(text) => text_response(text.into()),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    };
    (state, res)
}

fn fleet(state: State) -> (State, Response<Body>) {
    let report = FleetReport::of(&node(&state));
    (state, json_response(StatusCode::OK, &report))
}

fn explain(state: State) -> (State, Response<Body>) {
    let path = Uri::borrow_from(&state).path().to_owned();
    let id = RequestId::new(path.strip_prefix(EXPLAIN_PREFIX).unwrap_or_default());
    let res = match node(&state).requests.explain(&id) {
        Some(outcome) => json_response(StatusCode::OK, &outcome),
        None => empty_response(StatusCode::NOT_FOUND),
    };
    (state, res)
}

fn text_response(text: Bytes) -> Response<Body> {
    let mut res = Response::new(Body::new(Full::new(text).map_err(|never| match never {})));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    res.headers_mut().insert(header::CONTENT_TYPE, text);
    res
}
