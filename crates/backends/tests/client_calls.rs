//! Tests of the client against a scripted server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

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
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use fake_server::{FakeServer, Reply, response_text};

mod fake_server;

const MAX_BODY_BYTES: usize = 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

fn client() -> BackendClient {
    BackendClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        head_timeout: Duration::from_millis(200),
        body_idle_timeout: Duration::from_millis(200),
        control_call_timeout: Duration::from_millis(300),
        max_control_response_bytes: MAX_BODY_BYTES,
        ..ClientLimits::default()
    })
}

fn request() -> BackendRequest {
    BackendRequest::new(Method::POST, "/v1/chat/completions").body(Bytes::from_static(b"{}"))
}

async fn call(client: &BackendClient, address: SocketAddr) -> Result<Bytes, BackendError> {
    let response = client.connect(address).await?.send(request()).await?;
    response.body.read(MAX_BODY_BYTES).await
}

async fn refusing_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a refused connection being reported as a request that may have run.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let error = call(&client(), refusing_address().await).await.unwrap_err();
    assert!(matches!(error, BackendError::Connect { .. }), "{error}");
    assert_eq!(error.execution(), Execution::NotRun);
}

/// Guards against a server that runs on, or that cannot be reached, being taken for one that has
/// ended. The silent address belongs to a listener whose queue of connections is full.
#[tokio::test]
async fn refuses_connections_is_true_only_without_a_listener() {
    let client = client();
    assert!(client.refuses_connections(refusing_address().await).await);

    let server = FakeServer::start(Reply::Text(response_text(200, "ok"))).await;
    assert!(!client.refuses_connections(server.address).await);

    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let full = socket.listen(1).unwrap();
    let address = full.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(connection)) =
        timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        queued.push(connection);
    }
    let started = Instant::now();
    assert!(!client.refuses_connections(address).await);
    assert!(started.elapsed() >= CONNECT_TIMEOUT, "not silent");
    assert!(started.elapsed() < CONNECT_TIMEOUT * 5, "not bounded");
}

/// Guards against `not-run` being reported for a request that the server has received.
#[tokio::test]
async fn send_failure_after_first_byte_is_unknown() {
    let cases = [
        (
            "closed before the response head",
            Reply::TextThenClose(String::new()),
        ),
        ("no response head", Reply::TextThenStall(String::new())),
        (
            "response head truncated",
            Reply::TextThenClose("HTTP/1.1 200 OK\r\ncont".into()),
        ),
        (
            "malformed response head",
            Reply::Text("hello\r\n\r\n".into()),
        ),
        (
            "body truncated",
            Reply::TextThenClose("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab".into()),
        ),
        (
            "body without a length reset",
            Reply::TextThenReset("HTTP/1.1 200 OK\r\n\r\nab".into()),
        ),
        (
            "empty body without a length reset",
            Reply::TextThenReset("HTTP/1.1 200 OK\r\n\r\n".into()),
        ),
        (
            "body of HTTP/1.0 without a length reset",
            Reply::TextThenReset("HTTP/1.0 200 OK\r\n\r\nab".into()),
        ),
        (
            "body without a length stalled",
            Reply::TextThenStall("HTTP/1.1 200 OK\r\n\r\nab".into()),
        ),
        (
            "chunked body closed before its last chunk",
            Reply::TextThenClose(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n".into(),
            ),
        ),
        (
            "body stalled",
            Reply::TextThenStall("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab".into()),
        ),
        (
            "malformed chunk",
            Reply::Text("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".into()),
        ),
        (
            "body too large",
            Reply::TextThenStall(format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n{}",
                "x".repeat(MAX_BODY_BYTES + 1)
            )),
        ),
    ];
    for (name, reply) in cases {
        let server = FakeServer::start(reply).await;
        let client = client();
        let error = call(&client, server.address).await.expect_err(name);
        assert_eq!(error.execution(), Execution::Unknown, "{name}: {error}");
        assert_eq!(server.requests().len(), 1, "{name}: sent more than once");
        assert_eq!(
            client.idle_connections(),
            0,
            "{name}: connection kept in the pool"
        );
    }
}

/// Guards against a complete response without a length or chunks that is reported as truncated, and
/// against its closed connection being used for the next request.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_length_ends_with_its_connection() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for body in [String::new(), "ab".into(), "x".repeat(MAX_BODY_BYTES)] {
            let text = format!("{version} 200 OK\r\n\r\n{body}");
            let server = FakeServer::start(Reply::TextThenClose(text)).await;
            let client = client();
            for calls in 1..=50 {
                let found = call(&client, server.address).await;
                assert_eq!(found.unwrap(), body, "{version}, call {calls}");
                assert_eq!(server.connections(), calls, "{version}");
            }
        }
    }
}

/// Guards against a sound response, with a body of several read buffers, that is broken off because
/// its bytes are counted as bytes without data.
#[tokio::test(flavor = "multi_thread")]
async fn response_larger_than_read_buffer_is_complete() {
    let body = "x".repeat(400_000);
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let cases = [
        ("length", response_text(200, &body)),
        (
            "chunks",
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"),
        ),
        ("neither", format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
    ];
    for (name, text) in cases {
        let server = FakeServer::start(Reply::TextThenClose(text)).await;
        let client = BackendClient::new(ClientLimits::default());
        let mut broken = Vec::new();
        for _ in 0..100 {
            let connection = client.connect_fresh(server.address).await.unwrap();
            let response = connection.send(request()).await.unwrap();
            match response.body.read(body.len()).await {
                Ok(found) => assert!(found == body, "{name}: {} bytes", found.len()),
                Err(error) => broken.push(format!("{error:?}")),
            }
        }
        let count = broken.len();
        assert_eq!(count, 0, "{name}, of 100: {:?}", broken.first());
    }
}

/// Guards against data that was received before a reset being lost, and against a reset that ends
/// the body like a close.
#[tokio::test]
async fn response_without_length_reset_returns_data_then_error() {
    let text = "HTTP/1.1 200 OK\r\n\r\nab";
    let server = FakeServer::start(Reply::TextThenReset(text.into())).await;
    let connection = client().connect(server.address).await.unwrap();
    let mut response = connection.send(request()).await.unwrap();
    assert_eq!(response.body.next().await.unwrap().unwrap(), "ab");
    let error = response.body.next().await.unwrap().unwrap_err();
    assert!(
        matches!(error, BackendError::BodyInterrupted { .. }),
        "{error}"
    );
    assert!(response.body.next().await.is_none());
}

/// Guards against a pool that never reuses a connection, and against reuse that blocks indefinitely.
#[tokio::test]
async fn connection_after_complete_response_is_reused() {
    let server = FakeServer::start(Reply::Text(response_text(200, "ok"))).await;
    let client = client();
    for _ in 0..5 {
        assert_eq!(call(&client, server.address).await.unwrap(), "ok");
    }
    assert_eq!(server.connections(), 1);
    assert_eq!(client.idle_connections(), 1);
}

/// Guards against reuse of a connection whose previous response was not read to the end: the next
/// request would receive the rest of that response.
#[tokio::test]
async fn connection_with_dropped_body_is_closed() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let server = FakeServer::start(Reply::TextThenStall(text.into())).await;
    let client = client();
    let connection = client.connect(server.address).await.unwrap();
    let mut response = connection.send(request()).await.unwrap();
    assert_eq!(response.body.next().await.unwrap().unwrap(), "ab");
    drop(response);
    assert!(
        server.client_closed(1).await,
        "the request was not cancelled"
    );
    assert_eq!(client.idle_connections(), 0);
}

/// Guards against a request that keeps running at the server after its future was dropped before
/// the response head arrived.
#[tokio::test]
async fn connection_with_dropped_send_is_closed() {
    let server = FakeServer::start(Reply::TextThenStall(String::new())).await;
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

/// Guards against a surplus response on a connection being taken for the response to the next
/// request.
#[tokio::test]
async fn connection_with_surplus_response_is_not_reused() {
    let first = response_text(200, "first");
    let server = FakeServer::start(Reply::Text(format!(
        "{first}{}",
        response_text(200, "late")
    )))
    .await;
    let client = client();
    for _ in 0..3 {
        assert_eq!(call(&client, server.address).await.unwrap(), "first");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.connections(), 3);
}

/// Guards against a request being written to an idle connection that the server has closed.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let server = FakeServer::start(Reply::TextThenClose(response_text(200, "ok"))).await;
    let client = client();
    for _ in 0..3 {
        assert_eq!(call(&client, server.address).await.unwrap(), "ok");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.requests().len(), 3);
}

/// Guards against several calls in a row that time out on pooled connections which no longer
/// deliver data: the first time-out has to remove all of them from the pool.
#[tokio::test]
async fn stalled_idle_connections_are_discarded_after_one_timeout() {
    let server = FakeServer::start(Reply::TextOnce(response_text(200, "ok"))).await;
    let client = client();
    let mut open = Vec::new();
    for _ in 0..4 {
        open.push(client.connect_fresh(server.address).await.unwrap());
    }
    for connection in open {
        let response = connection.send(request()).await.unwrap();
        response.body.read(MAX_BODY_BYTES).await.unwrap();
    }
    assert_eq!(client.idle_connections(), 4);
    let error = call(&client, server.address).await.unwrap_err();
    assert!(matches!(error, BackendError::HeadTimeout { .. }), "{error}");
    assert_eq!(client.idle_connections(), 0);
    assert_eq!(call(&client, server.address).await.unwrap(), "ok");
}

/// Guards against `connect_fresh` returning an idle connection, and against idle connections that
/// stay open past the idle time-out.
#[tokio::test]
async fn fresh_connection_bypasses_pool_and_idle_one_expires() {
    let server = FakeServer::start(Reply::Text(response_text(200, "ok"))).await;
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

/// Guards against the caller's key, or any other header that is not on the allow list, reaching a
/// backend server.
#[tokio::test]
async fn request_passes_on_only_allowed_headers() {
    let server = FakeServer::start(Reply::Text(response_text(200, "ok"))).await;
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
    let received = server.requests().remove(0);
    assert!(!received.contains("hq-secret"), "{received}");
    let mut names: Vec<_> = received
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
    assert!(
        received.contains("x-priority: batch\r\n")
            && received.contains("x-request-id: lagos-a-1-7")
    );
}

/// Guards against request smuggling: a path that adds a header or a second request.
#[tokio::test]
async fn request_with_malformed_path_is_not_run() {
    let server = FakeServer::start(Reply::Text(response_text(200, "ok"))).await;
    let connection = client().connect(server.address).await.unwrap();
    let req = BackendRequest::new(Method::GET, "/a HTTP/1.1\r\nx: y");
    let error = connection.send(req).await.unwrap_err();
    assert_eq!(error.execution(), Execution::NotRun);
    assert!(server.requests().is_empty());
}

/// Guards against load reports with wrongly decoded fields, and against rejection of a plain
/// service's report, which leaves out the fields of engines.
#[tokio::test]
async fn load_report_is_decoded() {
    let full = r#"{"name":"e1","running":3,"waiting":2,"slots":8,"kv_used":10,"kv_capacity":99,
        "prefill_tokens_per_s":8000.0,"decode_ms":20.5,"leaving":true,"sequence":7}"#;
    let server = FakeServer::start(Reply::Text(response_text(200, full))).await;
    let report = client().load(server.address).await.unwrap();
    assert_eq!((report.running, report.waiting, report.slots), (3, 2, 8));
    assert!(report.leaving && report.decode_ms == 20.5 && report.sequence == 7);

    let short = r#"{"running":1,"waiting":0,"slots":4,"sequence":1}"#;
    let server = FakeServer::start(Reply::Text(response_text(200, short))).await;
    assert!(!client().load(server.address).await.unwrap().leaving);
}

/// Guards against cache events that lose their sequence numbers or prefixes.
#[tokio::test]
async fn cache_events_are_decoded() {
    let text = r#"{"events":[{"sequence":4,"kind":"stored","prefix":"00000000000000ff"},
        {"sequence":6,"kind":"evicted","prefix":"other"}],"next":6}"#;
    let server = FakeServer::start(Reply::Text(response_text(200, text))).await;
    let events = client().cache_events(server.address, 3).await.unwrap();
    assert_eq!(events.next, 6);
    assert_eq!(events.events[0].prefix, PrefixHash(255));
    assert_eq!(events.events[1].kind, PrefixEventKind::Evicted);
    assert!(server.requests()[0].starts_with("GET /cache-events?after=3 "));
}

/// Guards against an invalid load report being taken for a load of zero.
#[tokio::test]
async fn invalid_load_report_is_an_error() {
    let cases = [
        ("status", Reply::Text(response_text(503, "{}"))),
        ("malformed", Reply::Text(response_text(200, "{"))),
        (
            "too large",
            Reply::Text(response_text(200, &" ".repeat(MAX_BODY_BYTES + 1))),
        ),
        ("no response", Reply::TextThenStall(String::new())),
    ];
    for (name, reply) in cases {
        let server = FakeServer::start(reply).await;
        assert!(client().load(server.address).await.is_err(), "{name}");
    }
}

/// Guards against an order that the engine fenced off being taken for an accepted one.
#[tokio::test]
async fn order_status_maps_to_accepted_fenced_or_error() {
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
        let server = FakeServer::start(Reply::Text(response_text(status, "{}"))).await;
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
        let received = server.requests().remove(0);
        assert!(received.ends_with(r#"{"kind":"load-model","model":"ledger-7b","fence":42}"#));
    }
}

/// Guards against an order that is decoded with the wrong state; an order without a state is done.
#[tokio::test]
async fn order_list_is_decoded() {
    let text = r#"{"orders":[{"kind":"load-model","model":"a","fence":3},
        {"kind":"set-role","model":"prefill","fence":4,"state":"pending"}]}"#;
    let server = FakeServer::start(Reply::Text(response_text(200, text))).await;
    let list = client().orders(server.address).await.unwrap();
    assert_eq!(list.orders[0].state, OrderState::Done);
    assert_eq!(list.orders[1].state, OrderState::Pending);
    assert_eq!(list.orders[1].order.fence, 4);
}
