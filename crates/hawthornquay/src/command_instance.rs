//! Calls to the operators' interface of instances.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

/// Longest time of a call, connecting included.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Bounds the answer; a fleet view of 350 members is far below it.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Reason why an instance gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The connection failed.
    #[error("the connection failed: {}", innermost(.0.as_ref()))]
    Connection(#[source] Cause),
    /// The body is not what was asked for.
    #[error("the answer is malformed: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Another instance answers at the address.
    #[error("`{0}` answers there")]
    WrongInstance(String),
    /// The answer is about another request.
    #[error("it answered for request `{0}`")]
    WrongRequest(String),
    /// The answer has another status than 200.
    #[error("it answered with status {0}")]
    Status(StatusCode),
    /// The time was over.
    #[error("nothing came within {} s", CALL_LIMIT.as_secs())]
    Timeout,
}

/// Reads a JSON answer from the operators' interface of the instance at `address`.
pub(crate) async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, InstanceError> {
    let exchanged = tokio::time::timeout(CALL_LIMIT, exchange(address, path)).await;
    let data = exchanged.map_err(|_| InstanceError::Timeout)??;
    serde_json::from_slice(&data).map_err(InstanceError::Malformed)
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, InstanceError> {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let req = Request::get(format!("http://{address}{path}"))
        .body(Empty::<Bytes>::new())
        .expect("the path holds no character that a URI does not allow");
    let res = client.request(req).await;
    let res = res.map_err(|error| InstanceError::Connection(error.into()))?;
    if res.status() != StatusCode::OK {
        return Err(InstanceError::Status(res.status()));
    }
    let body = Limited::new(res.into_body(), ANSWER_LIMIT_BYTES).collect();
    Ok(body.await.map_err(InstanceError::Connection)?.to_bytes())
}

/// Returns the last cause, which names the fault; those before it only say that a call failed.
fn innermost(error: &(dyn std::error::Error + 'static)) -> String {
    let mut last = error;
    while let Some(source) = last.source() {
        last = source;
    }
    last.to_string()
}
