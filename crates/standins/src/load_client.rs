//! HTTP client of the load generator.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::time::{Instant, timeout};

use crate::{
    LoadOutcome, generated_text, load_request::LoadRequest, load_result::LoadResult,
    sse_parser::SseParser,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client that sends requests over pooled connections and checks the answers.
#[derive(Clone, Debug)]
pub(crate) struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl LoadClient {
    pub(crate) fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Sends `request` to the first of `addresses` that accepts a connection.
    pub(crate) async fn send(&self, addresses: &[SocketAddr], request: &LoadRequest) -> LoadResult {
        let started_at = Instant::now();
        let mut parser = SseParser::new(started_at);
        let exchange = self.exchange(addresses, request, &mut parser);
        let outcome = timeout(self.timeout, exchange)
            .await
            .unwrap_or(LoadOutcome::TimedOut);
        LoadResult {
            outcome,
            first_token: parser.first_token,
            token_gaps: parser.token_gaps,
            total: started_at.elapsed(),
        }
    }

    /// Returns the JSON from `path`, or `None` if the request fails or the body is not JSON.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
    ) -> Option<Value> {
        let mut req = Request::get(format!("http://{address}{path}"));
        if let Some(key) = key {
            req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let exchange = async {
            let res = self
                .client
                .request(req.body(Full::default()).ok()?)
                .await
                .ok()?;
            let data = res.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice(&data).ok()
        };
        timeout(CONNECT_TIMEOUT, exchange).await.ok()?
    }

    async fn exchange(
        &self,
        addresses: &[SocketAddr],
        request: &LoadRequest,
        parser: &mut SseParser,
    ) -> LoadOutcome {
        for address in addresses {
            match self.client.request(build_request(*address, request)).await {
                Ok(res) => return read_response(res, request, parser).await,
                Err(err) if err.is_connect() => {}
                Err(_) => return LoadOutcome::ConnectionFailed,
            }
        }
        LoadOutcome::Unreachable
    }
}

fn build_request(address: SocketAddr, request: &LoadRequest) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(&request.chat).expect("request can be serialised as JSON");
    let priority = if request.is_batch {
        "batch"
    } else {
        "interactive"
    };
    let mut req = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-priority", priority);
    if let Some(key) = &request.key {
        req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    req.body(Full::new(body.into()))
        .expect("API key is a valid header value")
}

async fn read_response(
    res: Response<Incoming>,
    request: &LoadRequest,
    parser: &mut SseParser,
) -> LoadOutcome {
    let status = res.status();
    let mut body = res.into_body();
    if status != StatusCode::OK || !request.chat.stream {
        return match body.collect().await {
            Ok(data) => check_whole_response(status, &data.to_bytes(), request),
            Err(_) => LoadOutcome::ConnectionFailed,
        };
    }
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => parser.push(&data),
            Ok(Err(_)) => {}
            Err(_) => return LoadOutcome::ConnectionFailed,
        }
    }
    if let Some(error) = &parser.error {
        return refused_outcome(StatusCode::OK, error);
    }
    if !parser.done {
        return LoadOutcome::Wrong("stream ended without [DONE]".to_owned());
    }
    check_answer(&parser.text, &parser.usage, request)
}

fn check_whole_response(status: StatusCode, data: &[u8], request: &LoadRequest) -> LoadOutcome {
    let value: Value = serde_json::from_slice(data).unwrap_or_default();
    if status != StatusCode::OK {
        return refused_outcome(status, &value);
    }
    let text = value["choices"][0]["message"]["content"].as_str();
    check_answer(text.unwrap_or_default(), &value["usage"], request)
}

fn check_answer(text: &str, usage: &Value, request: &LoadRequest) -> LoadOutcome {
    let tokens = request.chat.max_tokens;
    let nonce = format!("nonce={}", request.nonce);
    if text.split(' ').next() != Some(&nonce) {
        let start: String = text.chars().take(40).collect();
        return LoadOutcome::Wrong(format!("expected nonce {}, got {start:?}", request.nonce));
    }
    if text != generated_text(&request.nonce, tokens) {
        let got = text.split(' ').count();
        return LoadOutcome::Wrong(format!(
            "expected {tokens} generated tokens, got {got} tokens or a different text"
        ));
    }
    if usage["completion_tokens"] != tokens {
        return LoadOutcome::Wrong(format!(
            "expected completion_tokens {tokens} in the usage, got {usage}"
        ));
    }
    LoadOutcome::Correct
}

fn refused_outcome(status: StatusCode, value: &Value) -> LoadOutcome {
    let code = value["error"]["code"].as_str().unwrap_or("no-code");
    let execution = value["error"]["execution"].as_str().unwrap_or("unstated");
    LoadOutcome::Refused(format!("{} {code} {execution}", status.as_u16()))
}
