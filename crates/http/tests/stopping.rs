//! Stop of a server while callers connect and send requests.

use std::{net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::State,
};
use hawthornquay_http::{Body, HttpServer, ServerLimits, empty_response};
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

fn answer(state: State) -> (State, Response<Body>) {
    (state, empty_response(StatusCode::OK))
}

/// Time after the shutdown at which late requests are sent. It lies beyond the time for which a
/// server without requests keeps its connections.
const LATE: Duration = Duration::from_millis(600);

/// Time for which a request to `/slow` runs, and the response to `/stream` lasts.
const SLOW: Duration = Duration::from_millis(1_200);

async fn answer_slowly(state: State) -> HandlerResult {
    sleep(SLOW).await;
    Ok((state, empty_response(StatusCode::OK)))
}

/// Sends the head at once and the end of the body after [`SLOW`].
fn answer_with_stream(state: State) -> (State, Response<Body>) {
    let events = stream::once(async {
        sleep(SLOW).await;
        Ok(Frame::data(Bytes::from_static(b"end")))
    });
    let body = Body::new(StreamBody::new(events));
    (state, Response::new(body))
}

fn router() -> Router {
    build_simple_router(|route| {
        route.get("/").to(answer);
        route
            .get("/slow")
            .to_async(|state| Box::pin(answer_slowly(state)) as Pin<Box<HandlerFuture>>);
        route.get("/stream").to(answer_with_stream);
    })
}

struct TestServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    stopped: JoinHandle<bool>,
}

impl TestServer {
    async fn start() -> Self {
        let address = ([127, 0, 0, 1], 0).into();
        let server = HttpServer::bind(address, router(), ServerLimits::default())
            .await
            .unwrap();
        let address = server.local_addr().unwrap();
        let shutdown = CancellationToken::new();
        let stopped = tokio::spawn(server.serve(shutdown.clone()));
        Self {
            address,
            shutdown,
            stopped,
        }
    }

    /// Connects and sends `text`.
    async fn send(&self, text: &[u8]) -> TcpStream {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        socket.write_all(text).await.unwrap();
        socket
    }

    /// Returns a connection on which a request has been answered.
    async fn kept_connection(&self) -> TcpStream {
        let mut socket = self.send(REQUEST).await;
        read_once(&mut socket).await;
        socket
    }
}

/// Reads what arrives first, which must begin with a successful response.
async fn read_once(socket: &mut TcpStream) -> String {
    let mut buf = [0; 1_024];
    let read = timeout(TEST_TIMEOUT, socket.read(&mut buf)).await;
    let text = String::from_utf8_lossy(&buf[..read.unwrap().unwrap()]).into_owned();
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
    text
}

async fn read_all(mut socket: TcpStream) -> String {
    let mut buf = Vec::new();
    let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut buf)).await;
    // A reset ends the response like a close.
    let _ = read.expect("the server closes the connection");
    String::from_utf8_lossy(&buf).into_owned()
}

/// Sends a request on each of `count` connections before a server accepts any, and starts the
/// server with its shutdown begun; returns how many requests get no response.
async fn unanswered_in_accept_queue(count: usize) -> usize {
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::bind(address, router(), ServerLimits::default())
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let mut sockets = Vec::new();
    for _ in 0..count {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(REQUEST).await.unwrap();
        sockets.push(socket);
    }
    let shutdown = CancellationToken::new();
    shutdown.cancel();
    let stopped = tokio::spawn(server.serve(shutdown));
    let mut unanswered = 0;
    for socket in sockets {
        unanswered += usize::from(!read_all(socket).await.starts_with("HTTP/1.1 200"));
    }
    assert!(stopped.await.unwrap());
    unanswered
}

/// Guards against requests that are cut off without a response because the operating system has
/// accepted their connections and the stopping server has not.
#[tokio::test]
async fn shutdown_answers_requests_on_connections_in_accept_queue() {
    for _ in 0..10 {
        assert_eq!(unanswered_in_accept_queue(20).await, 0);
    }
}

/// Guards against a second request of a kept connection that has arrived but has not been read when
/// the server closes its idle connections.
#[tokio::test]
async fn shutdown_answers_request_that_arrives_with_it() {
    let server = TestServer::start().await;
    let mut sockets = Vec::new();
    for _ in 0..20 {
        sockets.push(server.kept_connection().await);
    }
    server.shutdown.cancel();
    for socket in &mut sockets {
        socket.write_all(REQUEST).await.unwrap();
    }
    for socket in sockets {
        let response = read_all(socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    assert!(server.stopped.await.unwrap());
}

/// Guards against connections that are reset because the accept queue holds more of them than the
/// runtime accepts without a pause.
#[tokio::test]
async fn shutdown_answers_requests_of_long_accept_queue() {
    assert_eq!(unanswered_in_accept_queue(120).await, 0);
}

/// Guards against idle connections that are closed while other requests are still running, although
/// their callers may use them at any time.
#[tokio::test]
async fn shutdown_answers_late_request_while_another_one_runs() {
    let server = TestServer::start().await;
    let mut late = server.kept_connection().await;
    let running = server.send(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n").await;
    sleep(Duration::from_millis(100)).await;
    server.shutdown.cancel();
    sleep(LATE).await;
    let _ = late.write_all(REQUEST).await;
    for socket in [late, running] {
        let response = read_all(socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.contains("connection: close"), "{response:?}");
    }
    assert!(server.stopped.await.unwrap());
}

/// Guards against a request that is cut because its head was still arriving when the server closed
/// its idle connections.
#[tokio::test]
async fn shutdown_answers_request_whose_head_arrives_in_parts() {
    let server = TestServer::start().await;
    let mut socket = server.kept_connection().await;
    let (first, rest) = REQUEST.split_at(9);
    socket.write_all(first).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    server.shutdown.cancel();
    sleep(LATE).await;
    let _ = socket.write_all(rest).await;
    let response = read_all(socket).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    assert!(server.stopped.await.unwrap());
}

/// Guards against the close of a connection at the end of a response that began before the
/// shutdown. The response does not announce the close, so the next request is on its way.
#[tokio::test]
async fn shutdown_answers_request_after_stream_that_began_before() {
    let server = TestServer::start().await;
    let mut socket = server
        .send(b"GET /stream HTTP/1.1\r\nhost: x\r\n\r\n")
        .await;
    let head = read_once(&mut socket).await;
    assert!(!head.contains("connection: close"), "{head:?}");
    server.shutdown.cancel();
    let mut buf = [0; 1_024];
    let mut received = String::new();
    while !received.ends_with("0\r\n\r\n") {
        let read = timeout(TEST_TIMEOUT, socket.read(&mut buf)).await;
        let text = &buf[..read.unwrap().unwrap()];
        assert!(!text.is_empty(), "{received:?}");
        received.push_str(&String::from_utf8_lossy(text));
    }
    sleep(Duration::from_millis(50)).await;
    let _ = socket.write_all(REQUEST).await;
    let response = read_all(socket).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    assert!(server.stopped.await.unwrap());
}
