//! HTTP client that calls the instances of a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// Response with its complete body.
#[derive(Debug)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl BufferedResponse {
    /// Returns the body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|_| panic!("the response body is not JSON: {:?}", self.body))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the code of a refusal, and an empty text for other JSON bodies.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the `execution` field of a refusal, and an empty text for other JSON bodies.
    pub fn execution(&self) -> String {
        self.json()["error"]["execution"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn request_id(&self) -> String {
        self.headers["x-request-id"].to_str().unwrap().to_owned()
    }
}

/// HTTP client of one organisation, or without an API key.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: Option<String>,
}

impl Caller {
    pub fn new(key: Option<&str>) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            client,
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request and returns the head of the response with its unread body.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        self.client
            .request(req.body(Full::new(body)).unwrap())
            .await
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Panics
    ///
    /// Panics if the response is not received to its end.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> BufferedResponse {
        let res = self
            .send(to, method, path, headers, body.into())
            .await
            .expect("response head");
        let (head, body) = res.into_parts();
        let body = body
            .collect()
            .await
            .expect("complete response body")
            .to_bytes();
        BufferedResponse {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    pub async fn get(&self, to: SocketAddr, path: &str) -> BufferedResponse {
        self.call(to, Method::GET, path, &[], Bytes::new()).await
    }

    pub async fn chat(
        &self,
        to: SocketAddr,
        nonce: &str,
        max_tokens: u64,
        stream: bool,
    ) -> BufferedResponse {
        let body = chat_body(nonce, max_tokens, stream);
        self.call(to, Method::POST, "/v1/chat/completions", &[], body)
            .await
    }

    /// Calls the non-repeatable route for bookings.
    pub async fn book(
        &self,
        to: SocketAddr,
        idempotency_key: Option<&str>,
        nonce: &str,
    ) -> BufferedResponse {
        let headers: Vec<(&str, &str)> = idempotency_key
            .iter()
            .map(|key| ("idempotency-key", *key))
            .collect();
        let body = json!({"nonce": nonce}).to_string();
        self.call(to, Method::POST, "/v1/services/bookings", &headers, body)
            .await
    }
}

/// Returns the body of a chat request whose prompt contains `nonce`.
pub fn chat_body(nonce: &str, max_tokens: u64, stream: bool) -> Bytes {
    json!({
        "model": "ledger-7b",
        "messages": [{"role": "user", "content": format!("summarise the ledger nonce={nonce}")}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
    .into()
}
