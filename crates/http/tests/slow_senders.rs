//! Tests of time-outs for slow clients and of the memory budget for request bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    handler::HandlerFuture,
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::{FromState, State},
};
use hawthornquay_http::{
    Body, HttpServer, ReadError, ServerLimits, empty_response, read_body, read_body_with_budget,
};
use http::StatusCode;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const SERVER_TIMEOUT: Duration = Duration::from_millis(100);
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn handle(mut state: State) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::take_from(&mut state);
        let status = match read_body(body, 1_000, SERVER_TIMEOUT).await {
            Ok(_) => StatusCode::OK,
            Err(ReadError::Timeout) => StatusCode::REQUEST_TIMEOUT,
            Err(_) => StatusCode::BAD_REQUEST,
        };
        Ok((state, empty_response(status)))
    })
}

fn router() -> Router {
    build_simple_router(|route| route.post("/").to(handle))
}

async fn start() -> (SocketAddr, CancellationToken) {
    let limits = ServerLimits {
        header_timeout: SERVER_TIMEOUT,
        ..ServerLimits::default()
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), router(), limits)
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let shutdown = CancellationToken::new();
    tokio::spawn(server.serve(shutdown.clone()));
    (address, shutdown)
}

/// Sends `text` and nothing more; returns what the server sends until it closes the connection.
async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    timeout(TEST_TIMEOUT, stream.read_to_string(&mut response))
        .await
        .expect("server closes the connection of a slow client")
        .unwrap();
    response
}

/// Guards against a client that occupies a connection by never completing the request head.
#[tokio::test]
async fn connection_with_incomplete_head_is_closed() {
    let (address, _shutdown) = start().await;
    let response = exchange(address, "POST / HTTP/1.1\r\nhost: h\r\n").await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 408"),
        "{response}"
    );
}

/// Guards against a client that occupies a handler by never completing the request body.
#[tokio::test]
async fn incomplete_body_gets_408_and_connection_is_closed() {
    let (address, _shutdown) = start().await;
    let text = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n123";
    let response = exchange(address, text).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

fn body_of(parts: &[&'static [u8]]) -> Body {
    let frames: Vec<Result<Frame<Bytes>, std::io::Error>> = parts
        .iter()
        .map(|part| Ok(Frame::data(Bytes::from_static(part))))
        .collect();
    Body::new(StreamBody::new(stream::iter(frames)))
}

/// Guards against bodies that together exceed the memory budget, and against a budget that is not
/// released when a body is dropped or rejected.
#[tokio::test]
async fn body_memory_is_bounded_and_released() {
    static MEMORY: Semaphore = Semaphore::const_new(10);
    let first = read_body_with_budget(body_of(&[b"123", b"456"]), 8, TEST_TIMEOUT, &MEMORY).await;
    let first = first.unwrap();
    assert_eq!(
        (&first[..], MEMORY.available_permits()),
        (&b"123456"[..], 4)
    );
    let second = read_body_with_budget(body_of(&[b"123", b"456"]), 8, TEST_TIMEOUT, &MEMORY).await;
    assert!(
        matches!(second, Err(ReadError::MemoryExhausted)),
        "{second:?}"
    );
    assert_eq!(MEMORY.available_permits(), 4);
    let slice = first.slice(1..3);
    drop(first);
    assert_eq!(MEMORY.available_permits(), 4);
    drop(slice);
    assert_eq!(MEMORY.available_permits(), 10);
    let large =
        read_body_with_budget(body_of(&[b"12345", b"6789"]), 8, TEST_TIMEOUT, &MEMORY).await;
    assert!(
        matches!(large, Err(ReadError::TooLarge { limit: 8 })),
        "{large:?}"
    );
    assert_eq!(MEMORY.available_permits(), 10);
}

/// Guards against a body that is read although its declared length exceeds the limit.
#[tokio::test]
async fn body_with_declared_length_above_limit_is_rejected_unread() {
    let body =
        Body::new(Full::new(Bytes::from_static(b"123456789")).map_err(|never| match never {}));
    let read = read_body(body, 8, TEST_TIMEOUT).await;
    assert!(
        matches!(read, Err(ReadError::TooLarge { limit: 8 })),
        "{read:?}"
    );
}
