//! HTTP interface of the platform.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::InstanceRecord;
use hawthornquay_http::{Body, empty_response, json_response};
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use serde_json::{Value, json};

use crate::{
    StandinRequest,
    chat_response::aborted_response,
    endpoint::Endpoint,
    error_response::{error_response, invalid_json_response, unknown_resource_response},
    pause::pause,
    platform_core::PlatformCore,
    store_endpoint::StoreEndpoint,
    weight_stream::weight_stream,
};

pub(crate) const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Header of every response: the number of times that the store came back from a copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Handles the calls to the platform.
#[derive(Debug)]
pub(crate) struct PlatformEndpoint {
    core: Arc<PlatformCore>,
    store: StoreEndpoint,
}

impl PlatformEndpoint {
    pub(crate) fn new(core: &Arc<PlatformCore>) -> Self {
        Self {
            core: Arc::clone(core),
            store: StoreEndpoint::new(core),
        }
    }

    async fn admin(&self, req: &StandinRequest, segments: &[&str]) -> Response<Body> {
        match (&req.method, segments) {
            (&Method::GET, ["counters"]) => {
                ok(&json!(self.core.with_state(|state, _| state.counters())))
            }
            (&Method::POST, ["faults"]) => match req.json() {
                Ok(faults) => {
                    self.core.set_faults(faults);
                    ok(&json!(faults))
                }
                Err(err) => invalid_json_response(&err),
            },
            (&Method::POST, ["store", "copy"]) => {
                self.core.with_state(|state, _| state.copy_store());
                empty_response(StatusCode::NO_CONTENT)
            }
            (&Method::POST, ["store", "restore"]) => {
                if self.core.restore_store() {
                    empty_response(StatusCode::NO_CONTENT)
                } else {
                    error_response(StatusCode::CONFLICT, "no-copy", "no copy was made")
                }
            }
            (&Method::PUT, ["instances", name]) => self.set_instance(name, req),
            (&Method::DELETE, ["instances", name]) => {
                self.core
                    .with_state(|state, now| state.instances.set(now, name, None));
                empty_response(StatusCode::NO_CONTENT)
            }
            _ => unknown_resource_response(),
        }
    }

    fn set_instance(&self, name: &str, req: &StandinRequest) -> Response<Body> {
        let parsed = req.json().and_then(|mut value: Value| {
            value["name"] = json!(name);
            value["state_age_ms"] = json!(0);
            serde_json::from_value::<InstanceRecord>(value)
        });
        match parsed {
            Ok(record) => {
                self.core
                    .with_state(|state, now| state.instances.set(now, name, Some(record)));
                empty_response(StatusCode::NO_CONTENT)
            }
            Err(err) => invalid_json_response(&err),
        }
    }

    fn instances(&self) -> Response<Body> {
        let (lag, instances) = self.core.with_state(|state, now| {
            state.counters.list_reads += 1;
            let lag = state.faults.list_lag_ms.map(Duration::from_millis);
            let lag = lag.unwrap_or(self.core.settings.list_lag);
            (lag, state.instances.lagged(now, lag))
        });
        ok(&json!({"lag_ms": lag.as_millis() as u64, "instances": instances}))
    }

    fn directory(&self, req: &StandinRequest, name: &str) -> Response<Body> {
        self.core
            .with_state(|state, _| state.counters.directory_calls += 1);
        if req.method == Method::GET {
            let Some(data) = self
                .core
                .with_state(|state, _| state.directory.get(name).cloned())
            else {
                return error_response(
                    StatusCode::NOT_FOUND,
                    "not-found",
                    "no such directory entry",
                );
            };
            return Response::new(Body::new(Full::new(data).map_err(|never| match never {})));
        }
        if req.body.len() > MAX_VALUE_BYTES {
            return too_large_response();
        }
        let data = req.body.clone();
        self.core
            .with_state(|state, _| state.directory.insert(name.to_owned(), data));
        empty_response(StatusCode::NO_CONTENT)
    }

    fn weights(&self) -> Response<Body> {
        let data = weight_stream(Arc::clone(&self.core));
        let mut res = Response::new(Body::new(StreamBody::new(data)));
        let length = HeaderValue::from(self.core.settings.weight_bytes);
        res.headers_mut().insert(header::CONTENT_LENGTH, length);
        res
    }
}

impl Endpoint for PlatformEndpoint {
    // A JSON body is larger than its value because of base64 and other fields; the size of the
    // value is checked separately.
    const MAX_BODY_BYTES: usize = 4 * MAX_VALUE_BYTES;

    async fn handle(self: Arc<Self>, req: StandinRequest) -> Response<Body> {
        let path = req.path.trim_start_matches('/');
        let segments: Vec<&str> = path.split('/').collect();
        if let ["admin", rest @ ..] = segments.as_slice() {
            let res = self.admin(&req, rest).await;
            return with_era(res, self.era());
        }
        let era = self.era();
        let res = self.respond(&req, path, &segments).await;
        let delay_ms = self.core.with_state(|state, _| state.faults.delay_ms);
        pause(Duration::from_millis(delay_ms)).await;
        let current = self.era();
        // The response may describe the former history or the present one, so it states neither.
        // A refused watch is refused in both.
        if era != current && res.status() != StatusCode::GONE {
            return aborted_response();
        }
        with_era(res, current)
    }
}

impl PlatformEndpoint {
    fn era(&self) -> u64 {
        self.core.with_state(|state, _| state.era)
    }

    async fn respond(&self, req: &StandinRequest, path: &str, segments: &[&str]) -> Response<Body> {
        let in_outage = self.core.with_state(|state, _| {
            state.counters.outage_refusals += u64::from(state.faults.outage);
            state.faults.outage
        });
        if in_outage {
            return outage_response();
        }
        match (&req.method, segments) {
            (_, ["kv", ..] | ["leases", ..]) | (&Method::GET, ["list"] | ["watch"]) => {
                self.store.handle(req, segments).await
            }
            (&Method::GET, ["instances"]) => self.instances(),
            (&Method::GET | &Method::PUT, ["directory", ..]) => {
                let name = path.strip_prefix("directory/").unwrap_or_default();
                self.directory(req, name)
            }
            (&Method::GET, ["weights", _]) => self.weights(),
            _ => unknown_resource_response(),
        }
    }
}

fn with_era(mut res: Response<Body>, era: u64) -> Response<Body> {
    res.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    res
}

pub(crate) fn ok(value: &Value) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

pub(crate) fn outage_response() -> Response<Body> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "outage",
        "the platform is unavailable because of an injected outage",
    )
}

pub(crate) fn too_large_response() -> Response<Body> {
    error_response(
        StatusCode::PAYLOAD_TOO_LARGE,
        "too-large",
        "the value is larger than 1 MiB",
    )
}
