//! HTTP interface of a plain service.

use std::{sync::Arc, time::Duration};

use hawthornquay_http::{Body, json_response};
use http::{Method, Response, StatusCode, header};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{
    AfterRun, StandinRequest,
    chat_response::aborted_response,
    endpoint::Endpoint,
    engine_endpoint::X_REQUEST_ID,
    error_response::{error_response, invalid_json_response},
    pause::pause,
    request_ids::RequestIds,
    service_run::ServiceRun,
    service_state::ServiceState,
};

/// Handles the requests to one plain service.
#[derive(Debug)]
pub(crate) struct ServiceEndpoint {
    name: String,
    state: Arc<Mutex<ServiceState>>,
    ids: RequestIds,
}

impl ServiceEndpoint {
    pub(crate) fn new(name: &str, state: &Arc<Mutex<ServiceState>>) -> Self {
        Self {
            name: name.to_owned(),
            state: Arc::clone(state),
            ids: RequestIds::default(),
        }
    }

    async fn run(&self, req: &StandinRequest) -> Response<Body> {
        let id = req
            .header(X_REQUEST_ID.as_str())
            .map_or_else(|| self.ids.next_id(), str::to_owned);
        let Some((run, faults)) = ServiceRun::start(&self.state, &id) else {
            let message = "the service is leaving and accepts no new requests";
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "leaving", message);
        };
        pause(Duration::from_millis(faults.delay_ms)).await;
        match faults.after_run {
            AfterRun::Answer => {}
            AfterRun::Break => return aborted_response(),
            AfterRun::Fail => {
                let message = "the service failed after the run because of an injected fault";
                return error_response(StatusCode::INTERNAL_SERVER_ERROR, "failed", message);
            }
            AfterRun::Silent => std::future::pending().await,
        }
        let body: Value = req.json().unwrap_or_default();
        let value = json!({"request_id": id, "nonce": body["nonce"], "runs": run.count()});
        json_response(StatusCode::OK, &value)
    }

    fn load(&self) -> Value {
        let mut state = self.state.lock();
        state.reports += 1;
        json!({
            "name": self.name,
            "running": state.running,
            "leaving": state.faults.leaving,
            "sequence": state.reports,
        })
    }
}

impl Endpoint for ServiceEndpoint {
    const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

    async fn handle(self: Arc<Self>, req: StandinRequest) -> Response<Body> {
        if req.headers.contains_key(header::AUTHORIZATION) {
            self.state.lock().keys_seen += 1;
        }
        match (&req.method, req.path.as_str()) {
            (&Method::GET, "/runs") => json_response(StatusCode::OK, &self.state.lock().runs),
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.load()),
            (&Method::POST, "/admin/faults") => match req.json() {
                Ok(faults) => {
                    self.state.lock().faults = faults;
                    json_response(StatusCode::OK, &faults)
                }
                Err(err) => invalid_json_response(&err),
            },
            _ => self.run(&req).await,
        }
    }
}
