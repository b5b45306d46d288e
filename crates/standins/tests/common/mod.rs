//! Helpers shared by the tests of the stand-ins.
#![allow(dead_code, reason = "each test target uses only some of the helpers")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// Limit for operations that are expected to complete.
pub const TIMEOUT: Duration = Duration::from_secs(10);

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Sends a request and returns the response as soon as its head has arrived.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    client
        .request(req.body(Full::new(body.into())).unwrap())
        .await
}

/// Sends a request and returns status and JSON body of the response; `null` if it is not JSON.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (StatusCode, Value) {
    let exchange = async {
        let res = send(address, method, path, headers, body).await.unwrap();
        let status = res.status();
        let data = res.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&data).unwrap_or_default())
    };
    timeout(TIMEOUT, exchange)
        .await
        .expect("response arrives within the timeout")
}

pub async fn get(address: SocketAddr, path: &str) -> Value {
    let (status, value) = call(address, "GET", path, &[], "").await;
    assert_eq!(status, StatusCode::OK, "{path}: {value}");
    value
}

pub fn chat(prompt: &str, max_tokens: u64, stream: bool) -> String {
    json!({
        "model": "ledger-7b",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// Polls `condition` until it holds; panics with `what` after [`TIMEOUT`].
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {what}"
        );
        sleep(Duration::from_millis(2)).await;
    }
}
