//! HTTP interface of a model engine.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_http::{Body, empty_response, json_response};
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    ChatRequest, EngineSettings, StandinRequest,
    active_request::ActiveRequest,
    chat_response::{streamed_response, whole_response},
    count_prompt_tokens,
    endpoint::Endpoint,
    engine_state::EngineState,
    error_response::{error_response, invalid_json_response, unknown_resource_response},
    generation::Generation,
    kv_block, prompt_prefixes,
    request_ids::RequestIds,
};

pub(crate) const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_PRIORITY: &str = "x-priority";

/// Handles the requests to one model engine.
#[derive(Debug)]
pub(crate) struct EngineEndpoint {
    settings: EngineSettings,
    state: Arc<Mutex<EngineState>>,
    ids: RequestIds,
}

impl EngineEndpoint {
    pub(crate) fn new(settings: EngineSettings, state: &Arc<Mutex<EngineState>>) -> Self {
        Self {
            settings,
            state: Arc::clone(state),
            ids: RequestIds::default(),
        }
    }

    async fn chat(&self, req: &StandinRequest) -> Response<Body> {
        let id = req
            .header(X_REQUEST_ID.as_str())
            .map_or_else(|| self.ids.next_id(), str::to_owned);
        let mut res = match self.start_chat(&id, req) {
            Ok((chat, generation)) if chat.stream => {
                streamed_response(&id, &chat.model, generation)
            }
            Ok((chat, generation)) => whole_response(&id, &chat.model, generation).await,
            Err(res) => {
                self.state.lock().counters.refused += 1;
                *res
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            res.headers_mut().insert(X_REQUEST_ID, value);
        }
        res
    }

    fn start_chat(
        &self,
        id: &str,
        req: &StandinRequest,
    ) -> Result<(ChatRequest, Generation), Box<Response<Body>>> {
        let reject =
            |status, code, message: &str| Err(Box::new(error_response(status, code, message)));
        let bad_request = |message| reject(StatusCode::BAD_REQUEST, "bad-request", message);
        let chat: ChatRequest = req
            .json()
            .map_err(|err| Box::new(invalid_json_response(&err)))?;
        let priority_rank = match req.header(X_PRIORITY) {
            None | Some("interactive") => 0,
            Some("batch") => 1,
            Some(_) => return bad_request("X-Priority must be interactive or batch"),
        };
        if chat.max_tokens == 0 {
            return bad_request("max_tokens must be at least 1");
        }
        let unavailable = |code, message| reject(StatusCode::SERVICE_UNAVAILABLE, code, message);
        let state = self.state.lock();
        if state.faults.leaving {
            return unavailable(
                "leaving",
                "the engine is leaving and accepts no new requests",
            );
        }
        if state.queue_is_full() {
            return unavailable(
                "queue-full",
                "the queue of requests that wait for a slot is full",
            );
        }
        if !state.orders.models(Instant::now()).contains(&chat.model) {
            let message = format!("the model {} is not loaded", chat.model);
            return reject(StatusCode::NOT_FOUND, "model-not-found", &message);
        }
        drop(state);
        let prompt = chat.prompt();
        let generation = Generation::start(
            &self.state,
            ActiveRequest::new(id, count_prompt_tokens(&prompt)),
            priority_rank,
            prompt_prefixes(&chat.model, &prompt),
            chat.nonce().unwrap_or_default(),
            chat.max_tokens,
            Duration::from_millis(self.settings.decode_ms),
        );
        Ok((chat, generation))
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let Some(request) = self.state.lock().find_active(id) else {
            return error_response(
                StatusCode::NOT_FOUND,
                "not-found",
                "no request with this id is queued or running",
            );
        };
        request.cancel.cancel();
        ok(&json!({"request_id": id, "usage": request.usage()}))
    }

    fn models(&self) -> Response<Body> {
        let state = self.state.lock();
        if state.faults.hide_models {
            let message = "the models cannot be listed because of an injected fault";
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "internal", message);
        }
        let models = state.orders.models(Instant::now());
        let data: Vec<Value> = models
            .iter()
            .map(|model| json!({"id": model, "object": "model", "owned_by": "stand-in"}))
            .collect();
        ok(&json!({"object": "list", "data": data}))
    }

    fn load(&self) -> Response<Body> {
        ok(&json!(self.state.lock().next_report(Instant::now())))
    }

    fn cache_events(&self, after: u64) -> Response<Body> {
        let (events, next) = self.state.lock().events.events_after(Instant::now(), after);
        ok(&json!({"events": events, "next": next}))
    }

    fn accept_order(&self, req: &StandinRequest) -> Response<Body> {
        let order = match req.json() {
            Ok(order) => order,
            Err(err) => return invalid_json_response(&err),
        };
        let now = Instant::now();
        let mut state = self.state.lock();
        match state.orders.accept(now, order) {
            Ok(()) => ok(&state.orders.to_json(now)),
            Err(fence) => {
                let error =
                    json!({"code": "old-fence", "message": "the fencing number is outdated"});
                let value = json!({"error": error, "fence": fence});
                json_response(StatusCode::CONFLICT, &value)
            }
        }
    }

    fn export_block(&self, prefix: &str) -> Response<Body> {
        if !self.state.lock().cache.contains(prefix) {
            return error_response(
                StatusCode::NOT_FOUND,
                "not-found",
                "the prefix is not in the cache",
            );
        }
        let data = Bytes::from(kv_block(prefix));
        let mut res = Response::new(Body::new(Full::new(data).map_err(|never| match never {})));
        let octets = HeaderValue::from_static("application/octet-stream");
        res.headers_mut().insert(header::CONTENT_TYPE, octets);
        res
    }

    fn import_block(&self, prefix: &str, block: &[u8]) -> Response<Body> {
        if block != kv_block(prefix) {
            let message = "the content of the block does not match the prefix";
            return error_response(StatusCode::BAD_REQUEST, "wrong-block", message);
        }
        let mut state = self.state.lock();
        state.store_prefixes(Instant::now(), &[prefix.to_owned()]);
        empty_response(StatusCode::NO_CONTENT)
    }

    fn set_faults(&self, req: &StandinRequest) -> Response<Body> {
        match req.json() {
            Ok(faults) => {
                self.state.lock().set_faults(Instant::now(), faults);
                ok(&json!(faults))
            }
            Err(err) => invalid_json_response(&err),
        }
    }
}

impl Endpoint for EngineEndpoint {
    const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

    async fn handle(self: Arc<Self>, req: StandinRequest) -> Response<Body> {
        if req.headers.contains_key(header::AUTHORIZATION) {
            self.state.lock().counters.keys_seen += 1;
        }
        let segments: Vec<&str> = req.path.trim_matches('/').split('/').collect();
        match (&req.method, segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(&req).await,
            (&Method::GET, ["v1", "models"]) => self.models(),
            (&Method::DELETE, ["v1", "requests", id]) => self.cancel(id),
            (&Method::GET, ["load"]) => self.load(),
            (&Method::GET, ["cache-events"]) => {
                self.cache_events(req.number("after").unwrap_or_default())
            }
            (&Method::GET, ["orders"]) => ok(&self.state.lock().orders.to_json(Instant::now())),
            (&Method::POST, ["orders"]) => self.accept_order(&req),
            (&Method::GET, ["kv-cache", prefix]) => self.export_block(prefix),
            (&Method::PUT, ["kv-cache", prefix]) => self.import_block(prefix, &req.body),
            (&Method::POST, ["admin", "faults"]) => self.set_faults(&req),
            (&Method::GET, ["admin", "counters"]) => ok(&json!(self.state.lock().counters)),
            _ => unknown_resource_response(),
        }
    }
}

fn ok(value: &Value) -> Response<Body> {
    json_response(StatusCode::OK, value)
}
