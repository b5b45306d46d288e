//! Senders that are slow, and the memory of their bodies.

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

const SHORT: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(5);

fn handle(mut state: State) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::take_from(&mut state);
        let status = match read_body(body, 1_000, SHORT).await {
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
        header_timeout: SHORT,
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

/// Sends `text`, then nothing more, and reads until the server closes.
async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut answer))
        .await
        .expect("the server keeps a slow sender")
        .unwrap();
    answer
}

/// Guards against a sender that keeps its connection by never finishing the head.
#[tokio::test]
async fn head_slow_sender_is_closed() {
    let (address, _shutdown) = start().await;
    let answer = exchange(address, "POST / HTTP/1.1\r\nhost: h\r\n").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
}

/// Guards against a sender that keeps its request by never finishing the body.
#[tokio::test]
async fn body_slow_sender_is_refused_and_closed() {
    let (address, _shutdown) = start().await;
    let text = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n123";
    let answer = exchange(address, text).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

fn parts(parts: &[&'static [u8]]) -> Body {
    let frames: Vec<Result<Frame<Bytes>, std::io::Error>> = parts
        .iter()
        .map(|part| Ok(Frame::data(Bytes::from_static(part))))
        .collect();
    Body::new(StreamBody::new(stream::iter(frames)))
}

/// Guards against bodies that together exceed the memory for them, and against memory that is not
/// given back.
#[tokio::test]
async fn body_memory_is_bounded_and_given_back() {
    static MEMORY: Semaphore = Semaphore::const_new(10);
    let first = read_body_with_budget(parts(&[b"123", b"456"]), 8, PATIENCE, &MEMORY).await;
    let first = first.unwrap();
    assert_eq!(
        (&first[..], MEMORY.available_permits()),
        (&b"123456"[..], 4)
    );
    let second = read_body_with_budget(parts(&[b"123", b"456"]), 8, PATIENCE, &MEMORY).await;
    assert!(
        matches!(second, Err(ReadError::MemoryExhausted)),
        "{second:?}"
    );
    assert_eq!(MEMORY.available_permits(), 4);
    let copy = first.slice(1..3);
    drop(first);
    assert_eq!(MEMORY.available_permits(), 4);
    drop(copy);
    assert_eq!(MEMORY.available_permits(), 10);
    let large = read_body_with_budget(parts(&[b"12345", b"6789"]), 8, PATIENCE, &MEMORY).await;
    assert!(
        matches!(large, Err(ReadError::TooLarge { limit: 8 })),
        "{large:?}"
    );
    assert_eq!(MEMORY.available_permits(), 10);
}

/// Guards against a body that is let in although its stated length is over the limit.
#[tokio::test]
async fn body_stated_length_over_the_limit_is_refused_unread() {
    let body =
        Body::new(Full::new(Bytes::from_static(b"123456789")).map_err(|never| match never {}));
    let read = read_body(body, 8, PATIENCE).await;
    assert!(
        matches!(read, Err(ReadError::TooLarge { limit: 8 })),
        "{read:?}"
    );
}
