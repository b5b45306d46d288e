//! Client of the operators' interface of instances.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

/// Time-out of a call, including the connection set-up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response; the fleet report of an instance that knows 350 members is far
/// smaller.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Reason why an instance returned no usable response.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The connection failed, or the response is incomplete or too large.
    #[error("the connection failed: {}", root_cause(.0.as_ref()))]
    Connection(#[source] Cause),
    /// The body cannot be parsed.
    #[error("the answer is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Another instance responded at the address.
    #[error("`{0}` answers there")]
    WrongInstance(String),
    /// The response is about another request.
    #[error("it answered for request `{0}`")]
    WrongRequest(String),
    /// The status of the response is not 200.
    #[error("it answered with status {0}")]
    Status(StatusCode),
    /// The call timed out.
    #[error("nothing came within {} s", CALL_TIMEOUT.as_secs())]
    Timeout,
}

/// Gets a JSON response from the operators' interface of the instance at `address`.
pub(crate) async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, InstanceError> {
    let response = tokio::time::timeout(CALL_TIMEOUT, exchange(address, path)).await;
    let data = response.map_err(|_| InstanceError::Timeout)??;
    serde_json::from_slice(&data).map_err(InstanceError::Malformed)
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, InstanceError> {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let req = Request::get(format!("http://{address}{path}"))
        .body(Empty::<Bytes>::new())
        .expect("the path contains only characters that a URI allows");
    let res = client.request(req).await;
    let res = res.map_err(|error| InstanceError::Connection(error.into()))?;
    if res.status() != StatusCode::OK {
        return Err(InstanceError::Status(res.status()));
    }
    let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect();
    Ok(body.await.map_err(InstanceError::Connection)?.to_bytes())
}

/// Returns the root cause of an error. The errors that wrap it state only that a call failed.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut last = error;
    while let Some(source) = last.source() {
        last = source;
    }
    last.to_string()
}
