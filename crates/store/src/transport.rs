//! HTTP transport of calls to the platform.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;

use crate::{CallTimeouts, PlatformError, UnknownOutcomeCause, wire_entry::WireEntry};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS: usize = 8;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Header with the era of the store; a response without it belongs to era 0.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Successful response.
#[derive(Debug)]
pub(crate) struct PlatformResponse {
    /// Era of the store in which the call was answered.
    pub(crate) era: u64,
    /// Body.
    pub(crate) data: Bytes,
}

impl PlatformResponse {
    /// Decodes the JSON body.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        parse(&self.data)
    }
}

/// Sends calls over pooled connections and maps failures to [`PlatformError`].
#[derive(Debug)]
pub(crate) struct Transport {
    address: SocketAddr,
    timeouts: CallTimeouts,
    client: Mutex<HttpClient>,
    /// Highest era of all responses.
    era: AtomicU64,
}

impl Transport {
    pub(crate) fn new(address: SocketAddr, timeouts: CallTimeouts) -> Self {
        Self {
            address,
            timeouts,
            client: Mutex::new(new_client(timeouts)),
            era: AtomicU64::new(0),
        }
    }

    pub(crate) fn timeouts(&self) -> CallTimeouts {
        self.timeouts
    }

    /// Returns the highest era of all responses so far.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Acquire)
    }

    /// Sends a call and returns the successful response. Times out after `limit`.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
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
        match tokio::time::timeout(limit, exchange(&client, req, &self.era)).await {
            Ok(result) => result,
            Err(_) => {
                // Other open connections may be affected by the same network fault, so later calls
                // use a new pool.
                *self.client.lock().unwrap_or_else(|err| err.into_inner()) =
                    new_client(self.timeouts);
                Err(PlatformError::UnknownOutcome(UnknownOutcomeCause::Timeout))
            }
        }
    }
}

/// Decodes a JSON body.
fn parse<T: DeserializeOwned>(data: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(data)
        .map_err(|err| PlatformError::UnknownOutcome(UnknownOutcomeCause::Malformed(err.into())))
}

fn new_client(timeouts: CallTimeouts) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

fn era_of(headers: &HeaderMap) -> u64 {
    headers
        .get(ERA_HEADER)
        .and_then(|era| era.to_str().ok()?.parse().ok())
        .unwrap_or_default()
}

async fn exchange(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
    highest_era: &AtomicU64,
) -> Result<PlatformResponse, PlatformError> {
    let res = client.request(req).await.map_err(|err| {
        if err.is_connect() {
            PlatformError::Unreachable(err.into())
        } else {
            PlatformError::UnknownOutcome(UnknownOutcomeCause::ConnectionLost(err.into()))
        }
    })?;
    let status = res.status();
    let era = era_of(res.headers());
    highest_era.fetch_max(era, Ordering::AcqRel);
    let data = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    // These statuses mean that the call had no effect, even if the body cannot be read.
    match status {
        StatusCode::NOT_FOUND => return Err(PlatformError::NotFound),
        StatusCode::GONE => return Err(PlatformError::HistoryDiscarded),
        StatusCode::PAYLOAD_TOO_LARGE => return Err(PlatformError::TooLarge),
        StatusCode::SERVICE_UNAVAILABLE => return Err(PlatformError::Outage),
        StatusCode::TOO_MANY_REQUESTS => return Err(PlatformError::RateExceeded),
        _ => {}
    }
    let data = data
        .map_err(|err| PlatformError::UnknownOutcome(UnknownOutcomeCause::ConnectionLost(err)))?
        .to_bytes();
    match status {
        StatusCode::CONFLICT => Err(decode_conflict(&data, era)?),
        status if status.is_success() => Ok(PlatformResponse { era, data }),
        status => Err(PlatformError::UnknownOutcome(
            UnknownOutcomeCause::UnexpectedStatus(status),
        )),
    }
}

fn decode_conflict(data: &[u8], era: u64) -> Result<PlatformError, PlatformError> {
    let current: Option<WireEntry> = parse(data)?;
    let current = current.map(|entry| entry.into_entry(era)).transpose()?;
    Ok(PlatformError::Conflict {
        current: current.map(Box::new),
    })
}
