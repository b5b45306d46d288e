//! Sending of calls.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;

use crate::{CallLimits, LostAnswerCause, PlatformError, wire_entry::WireEntry};

const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const IDLE_CONNECTIONS: usize = 8;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends calls over pooled connections and tells their failures apart.
#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    limits: CallLimits,
    client: Mutex<HttpClient>,
}

impl Transport {
    pub(crate) fn new(address: SocketAddr, limits: CallLimits) -> Self {
        Self {
            address,
            limits,
            client: Mutex::new(new_client(limits)),
        }
    }

    pub(crate) fn limits(&self) -> CallLimits {
        self.limits
    }

    /// Sends a call and returns the body of a successful answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, PlatformError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .expect("path is percent-encoded");
        let client = self
            .client
            .lock()
            .unwrap_or_else(|err| err.into_inner())
            .clone();
        match tokio::time::timeout(limit, exchange(&client, req)).await {
            Ok(result) => result,
            Err(_) => {
                // Other open connections may be as silent as this one: later calls use new ones.
                *self.client.lock().unwrap_or_else(|err| err.into_inner()) =
                    new_client(self.limits);
                Err(PlatformError::LostAnswer(LostAnswerCause::Timeout))
            }
        }
    }
}

/// Reads the JSON body of a successful answer.
pub(crate) fn parse<T: DeserializeOwned>(data: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(data)
        .map_err(|err| PlatformError::LostAnswer(LostAnswerCause::Malformed(err.into())))
}

fn new_client(limits: CallLimits) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

async fn exchange(client: &HttpClient, req: Request<Full<Bytes>>) -> Result<Bytes, PlatformError> {
    let res = client.request(req).await.map_err(|err| {
        if err.is_connect() {
            PlatformError::Unreachable(err.into())
        } else {
            PlatformError::LostAnswer(LostAnswerCause::Broken(err.into()))
        }
    })?;
    let status = res.status();
    let data = Limited::new(res.into_body(), ANSWER_LIMIT_BYTES)
        .collect()
        .await;
    // A refusal is certain by its status, whatever becomes of its body.
    match status {
        StatusCode::NOT_FOUND => return Err(PlatformError::NotFound),
        StatusCode::PAYLOAD_TOO_LARGE => return Err(PlatformError::TooLarge),
        StatusCode::SERVICE_UNAVAILABLE => return Err(PlatformError::Outage),
        StatusCode::TOO_MANY_REQUESTS => return Err(PlatformError::RateExceeded),
        _ => {}
    }
    let data = data
        .map_err(|err| PlatformError::LostAnswer(LostAnswerCause::Broken(err)))?
        .to_bytes();
    match status {
        StatusCode::CONFLICT => Err(read_conflict(&data)?),
        status if status.is_success() => Ok(data),
        status => Err(PlatformError::LostAnswer(
            LostAnswerCause::UnexpectedStatus(status),
        )),
    }
}

fn read_conflict(data: &[u8]) -> Result<PlatformError, PlatformError> {
    let current: Option<WireEntry> = parse(data)?;
    let current = current.map(WireEntry::into_entry).transpose()?;
    Ok(PlatformError::Conflict {
        current: current.map(Box::new),
    })
}
