//! Calls against a scripted server.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use hawthornquay_backends::{
    BackendClient, BackendError, BackendRequest, ClientLimits, OrderResponse,
};
use hawthornquay_decisions::{
    Execution, OrderKind, OrderRequest, OrderState, PrefixEventKind, PrefixHash, Priority,
    RequestId,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use fake_server::{FakeServer, Reply, answer};

mod fake_server;

const LIMIT: usize = 1024;

fn client() -> BackendClient {
    BackendClient::new(ClientLimits {
        connect_timeout: Duration::from_millis(200),
        head_timeout: Duration::from_millis(200),
        body_idle_timeout: Duration::from_millis(200),
        control_call_timeout: Duration::from_millis(300),
        max_control_response_bytes: LIMIT,
        ..ClientLimits::default()
    })
}

fn request() -> BackendRequest {
    BackendRequest::new(Method::POST, "/v1/chat/completions").body(Bytes::from_static(b"{}"))
}

async fn call(client: &BackendClient, address: SocketAddr) -> Result<Bytes, BackendError> {
    let answer = client.connect(address).await?.send(request()).await?;
    answer.body.read(LIMIT).await
}

async fn refusing_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a refused connection that is reported as a request that may have run.
#[tokio::test]
async fn connect_refused_is_not_run() {
    let error = call(&client(), refusing_address().await).await.unwrap_err();
    assert!(matches!(error, BackendError::Connect { .. }), "{error}");
    assert_eq!(error.execution(), Execution::NotRun);
}

/// Guards against a false `not-run` after the server received the request.
#[tokio::test]
async fn send_faults_after_first_byte_are_unknown() {
    let cases = [
        (
            "closed before the head",
            Reply::TextThenClose(String::new()),
        ),
        (
            "silent before the head",
            Reply::TextThenSilence(String::new()),
        ),
        (
            "head cut off",
            Reply::TextThenClose("HTTP/1.1 200 OK\r\ncont".into()),
        ),
        ("malformed head", Reply::Text("hello\r\n\r\n".into())),
        (
            "body cut off",
            Reply::TextThenClose("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab".into()),
        ),
        (
            "body silent",
            Reply::TextThenSilence("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab".into()),
        ),
        (
            "chunk malformed",
            Reply::Text("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".into()),
        ),
        (
            "body too large",
            Reply::TextThenSilence(format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n{}",
                "x".repeat(LIMIT + 1)
            )),
        ),
    ];
    for (name, reply) in cases {
        let server = FakeServer::start(reply).await;
        let client = client();
        let error = call(&client, server.address).await.expect_err(name);
        assert_eq!(error.execution(), Execution::Unknown, "{name}: {error}");
        assert_eq!(server.requests().len(), 1, "{name}: sent more than once");
        assert_eq!(client.idle_connections(), 0, "{name}: connection kept");
    }
}

/// Guards against reuse that waits for ever, and against a pool that never reuses.
#[tokio::test]
async fn connection_whole_answer_reused() {
    let server = FakeServer::start(Reply::Text(answer(200, "ok"))).await;
    let client = client();
    for _ in 0..5 {
        assert_eq!(call(&client, server.address).await.unwrap(), "ok");
    }
    assert_eq!(server.connections(), 1);
    assert_eq!(client.idle_connections(), 1);
}

/// Guards against an answer read from a connection on which an older one was abandoned.
#[tokio::test]
async fn connection_abandoned_body_closed() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let server = FakeServer::start(Reply::TextThenSilence(text.into())).await;
    let client = client();
    let connection = client.connect(server.address).await.unwrap();
    let mut answer = connection.send(request()).await.unwrap();
    assert_eq!(answer.body.next().await.unwrap().unwrap(), "ab");
    drop(answer);
    assert!(
        server.client_closed(1).await,
        "the request was not cancelled"
    );
    assert_eq!(client.idle_connections(), 0);
}

/// Guards against a request that runs on after its caller left before the head.
#[tokio::test]
async fn connection_abandoned_head_closed() {
    let server = FakeServer::start(Reply::TextThenSilence(String::new())).await;
    let client = client();
    let connection = client.connect(server.address).await.unwrap();
    let sent = tokio::time::timeout(Duration::from_millis(50), connection.send(request())).await;
    assert!(sent.is_err());
    assert!(
        server.client_closed(1).await,
        "the request was not cancelled"
    );
    assert_eq!(client.idle_connections(), 0);
}

/// Guards against a second answer on one connection that is taken for the next request's.
#[tokio::test]
async fn connection_surplus_answer_not_crossed() {
    let first = answer(200, "first");
    let server = FakeServer::start(Reply::Text(format!("{first}{}", answer(200, "late")))).await;
    let client = client();
    for _ in 0..3 {
        assert_eq!(call(&client, server.address).await.unwrap(), "first");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.connections(), 3);
}

/// Guards against a request written to an idle connection that the server has closed.
#[tokio::test]
async fn connection_closed_while_idle_replaced() {
    let server = FakeServer::start(Reply::TextThenClose(answer(200, "ok"))).await;
    let client = client();
    for _ in 0..3 {
        assert_eq!(call(&client, server.address).await.unwrap(), "ok");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.requests().len(), 3);
}

/// Guards against call after call lost on idle connections that went silent for good.
#[tokio::test]
async fn connection_silent_pool_replaced() {
    let server = FakeServer::start(Reply::TextOnce(answer(200, "ok"))).await;
    let client = client();
    let mut open = Vec::new();
    for _ in 0..4 {
        open.push(client.connect_fresh(server.address).await.unwrap());
    }
    for connection in open {
        let answer = connection.send(request()).await.unwrap();
        answer.body.read(LIMIT).await.unwrap();
    }
    assert_eq!(client.idle_connections(), 4);
    let error = call(&client, server.address).await.unwrap_err();
    assert!(matches!(error, BackendError::HeadTimeout { .. }), "{error}");
    assert_eq!(client.idle_connections(), 0);
    assert_eq!(call(&client, server.address).await.unwrap(), "ok");
}

/// Guards against a pool that outlives its limit or hands out an idle connection as fresh.
#[tokio::test]
async fn connection_fresh_and_expired() {
    let server = FakeServer::start(Reply::Text(answer(200, "ok"))).await;
    let client = BackendClient::new(ClientLimits {
        idle_timeout: Duration::from_millis(30),
        ..ClientLimits::default()
    });
    call(&client, server.address).await.unwrap();
    drop(client.connect_fresh(server.address).await.unwrap());
    assert_eq!(client.idle_connections(), 1);
    tokio::time::sleep(Duration::from_millis(40)).await;
    client.close_expired();
    assert_eq!(client.idle_connections(), 0);
    assert!(server.client_closed(2).await);
}

/// Guards against the caller's key, or a header that nobody allowed, reaching a backend server.
#[tokio::test]
async fn request_headers_only_allowed() {
    let server = FakeServer::start(Reply::Text(answer(200, "ok"))).await;
    let mut headers = HeaderMap::new();
    for name in [
        "authorization",
        "proxy-authorization",
        "cookie",
        "x-api-key",
        "idempotency-key",
        "x-deadline-ms",
        "connection",
        "content-length",
    ] {
        headers.insert(name, HeaderValue::from_static("hq-secret"));
    }
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    let req = request()
        .caller_headers(&headers)
        .request_id(&RequestId::new("lagos-a-1-7"))
        .priority(Priority::Batch);
    let connection = client().connect(server.address).await.unwrap();
    connection.send(req).await.unwrap();
    let seen = server.requests().remove(0);
    assert!(!seen.contains("hq-secret"), "{seen}");
    let mut names: Vec<_> = seen
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(": "))
        .map(|(name, _)| name)
        .collect();
    names.sort_unstable();
    let expected = [
        "content-length",
        "content-type",
        "host",
        "x-priority",
        "x-request-id",
    ];
    assert_eq!(names, expected);
    assert!(seen.contains("x-priority: batch\r\n") && seen.contains("x-request-id: lagos-a-1-7"));
}

/// Guards against a path that smuggles a second request or a header.
#[tokio::test]
async fn request_malformed_path_is_not_run() {
    let server = FakeServer::start(Reply::Text(answer(200, "ok"))).await;
    let connection = client().connect(server.address).await.unwrap();
    let req = BackendRequest::new(Method::GET, "/a HTTP/1.1\r\nx: y");
    let error = connection.send(req).await.unwrap_err();
    assert_eq!(error.execution(), Execution::NotRun);
    assert!(server.requests().is_empty());
}

/// Guards against reports that are read wrongly or a plain service's short form refused.
#[tokio::test]
async fn report_load_read() {
    let full = r#"{"name":"e1","running":3,"waiting":2,"slots":8,"kv_used":10,"kv_capacity":99,
        "prefill_tokens_per_s":8000.0,"decode_ms":20.5,"leaving":true,"sequence":7}"#;
    let server = FakeServer::start(Reply::Text(answer(200, full))).await;
    let report = client().load(server.address).await.unwrap();
    assert_eq!((report.running, report.waiting, report.slots), (3, 2, 8));
    assert!(report.leaving && report.decode_ms == 20.5 && report.sequence == 7);

    let short = r#"{"running":1,"waiting":0,"slots":4,"sequence":1}"#;
    let server = FakeServer::start(Reply::Text(answer(200, short))).await;
    assert!(!client().load(server.address).await.unwrap().leaving);
}

/// Guards against cache events whose numbers or prefixes are lost.
#[tokio::test]
async fn report_cache_events_read() {
    let text = r#"{"events":[{"sequence":4,"kind":"stored","prefix":"00000000000000ff"},
        {"sequence":6,"kind":"evicted","prefix":"other"}],"next":6}"#;
    let server = FakeServer::start(Reply::Text(answer(200, text))).await;
    let events = client().cache_events(server.address, 3).await.unwrap();
    assert_eq!(events.next, 6);
    assert_eq!(events.events[0].prefix, PrefixHash(255));
    assert_eq!(events.events[1].kind, PrefixEventKind::Evicted);
    assert!(server.requests()[0].starts_with("GET /cache-events?after=3 "));
}

/// Guards against faulty reports that are taken for a load of zero.
#[tokio::test]
async fn report_faults_are_errors() {
    let cases = [
        ("status", Reply::Text(answer(503, "{}"))),
        ("malformed", Reply::Text(answer(200, "{"))),
        (
            "too large",
            Reply::Text(answer(200, &" ".repeat(LIMIT + 1))),
        ),
        ("silent", Reply::TextThenSilence(String::new())),
    ];
    for (name, reply) in cases {
        let server = FakeServer::start(reply).await;
        assert!(client().load(server.address).await.is_err(), "{name}");
    }
}

/// Guards against a fenced order that is taken for an accepted one.
#[tokio::test]
async fn order_statuses_told_apart() {
    let order = OrderRequest {
        kind: OrderKind::LoadModel,
        model: "ledger-7b".into(),
        fence: 42,
    };
    for (status, expected) in [
        (200, Some(OrderResponse::Accepted)),
        (409, Some(OrderResponse::Fenced)),
        (500, None),
    ] {
        let server = FakeServer::start(Reply::Text(answer(status, "{}"))).await;
        let result = client().order(server.address, &order).await;
        match expected {
            Some(expected) => assert_eq!(result.unwrap(), expected),
            None => assert!(matches!(
                result.unwrap_err(),
                BackendError::Status {
                    status: StatusCode::INTERNAL_SERVER_ERROR,
                    ..
                }
            )),
        }
        let seen = server.requests().remove(0);
        assert!(seen.ends_with(r#"{"kind":"load-model","model":"ledger-7b","fence":42}"#));
    }
}

/// Guards against an order that is read back with a wrong state.
#[tokio::test]
async fn order_list_read() {
    let text = r#"{"orders":[{"kind":"load-model","model":"a","fence":3},
        {"kind":"set-role","model":"prefill","fence":4,"state":"pending"}]}"#;
    let server = FakeServer::start(Reply::Text(answer(200, text))).await;
    let list = client().orders(server.address).await.unwrap();
    assert_eq!(list.orders[0].state, OrderState::Done);
    assert_eq!(list.orders[1].state, OrderState::Pending);
    assert_eq!(list.orders[1].order.fence, 4);
}
