//! Reports about ends of connections.

use std::{net::SocketAddr, time::Duration};

use futures_util::stream;
use gotham::{
    handler::HandlerError,
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::State,
};
use hawthornquay_http::{
    Body, ConnectionEnd, EndReason, HttpServer, IDLE_CLOSE_DELAY, ServerLimits, empty_response,
};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::StreamBody;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const HEADER_TIMEOUT: Duration = Duration::from_millis(200);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

fn answer(state: State) -> (State, Response<Body>) {
    (state, empty_response(StatusCode::OK))
}

/// Returns a response after which the server closes the connection.
fn final_response() -> Response<Body> {
    let mut res = empty_response(StatusCode::OK);
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    res
}

fn answer_last(state: State) -> (State, Response<Body>) {
    (state, final_response())
}

/// Time for which a request to `/slow` runs.
const SLOW: Duration = Duration::from_millis(600);

async fn answer_last_slowly(_: &mut State) -> Result<Response<Body>, HandlerError> {
    sleep(SLOW).await;
    Ok(final_response())
}

fn answer_without_end(state: State) -> (State, Response<Body>) {
    (
        state,
        Response::new(Body::new(StreamBody::new(stream::pending()))),
    )
}

fn answer_broken(state: State) -> (State, Response<Body>) {
    let failed = stream::iter([Err(std::io::Error::other("broken"))]);
    (state, Response::new(Body::new(StreamBody::new(failed))))
}

fn router() -> Router {
    build_simple_router(|route| {
        route.get("/").to(answer);
        route.get("/last").to(answer_last);
        route.get("/slow").to_async_borrowing(answer_last_slowly);
        route.get("/endless").to(answer_without_end);
        route.get("/broken").to(answer_broken);
    })
}

struct TestServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    ends: mpsc::UnboundedReceiver<ConnectionEnd>,
}

impl TestServer {
    async fn start() -> Self {
        Self::start_with(ServerLimits {
            header_timeout: HEADER_TIMEOUT,
            ..ServerLimits::default()
        })
        .await
    }

    async fn start_with(limits: ServerLimits) -> Self {
        let (tx, ends) = mpsc::unbounded_channel();
        let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), router(), limits)
            .await
            .unwrap()
            .with_end_observer(move |end| tx.send(*end).unwrap());
        let address = server.local_addr().unwrap();
        let shutdown = CancellationToken::new();
        tokio::spawn(server.serve(shutdown.clone()));
        Self {
            address,
            shutdown,
            ends,
        }
    }

    /// Connects, sends `text` and reads the first bytes of the response to it.
    async fn send(&self, text: &[u8]) -> TcpStream {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        socket.write_all(text).await.unwrap();
        let mut buf = [0; 1_024];
        let read = timeout(TEST_TIMEOUT, socket.read(&mut buf)).await;
        assert!(read.unwrap().unwrap() > 0);
        socket
    }

    async fn next_end(&mut self) -> ConnectionEnd {
        timeout(TEST_TIMEOUT, self.ends.recv())
            .await
            .expect("the end is reported")
            .unwrap()
    }
}

/// Guards against ends that cannot be told apart: the time-out of an idle connection is harmless,
/// one that cuts a request head is not.
#[tokio::test]
async fn idle_timeout_is_told_from_head_timeout() {
    let mut server = TestServer::start().await;
    let _idle = server.send(REQUEST).await;
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::IdleTimeout);
    assert!(end.is_between_requests());
    assert_eq!((end.responses, end.unanswered_bytes), (1, 0));
    assert!(end.idle >= HEADER_TIMEOUT, "{end:?}");

    let mut socket = server.send(REQUEST).await;
    socket.write_all(b"GET / HT").await.unwrap();
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::HeadTimeout);
    assert!(!end.is_between_requests());
    assert_eq!((end.responses, end.unanswered_bytes), (1, 8));
    assert_eq!(end.client, socket.local_addr().unwrap());
}

/// Guards against a close by the client that is reported as one by the server, or without the
/// request that was unanswered.
#[tokio::test]
async fn client_close_is_told_from_server_close() {
    let mut server = TestServer::start().await;
    drop(server.send(REQUEST).await);
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::ClientClosed);
    assert!(end.is_between_requests());

    drop(
        server
            .send(b"GET /endless HTTP/1.1\r\nhost: x\r\n\r\n")
            .await,
    );
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::ClientClosed);
    assert!(end.is_request_open);
    assert_eq!(end.responses, 0);

    let _socket = server.send(b"GET /last HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::FinalResponse);
    assert!(end.is_between_requests());
}

/// Guards against refused heads and failed bodies that are reported as other ends.
#[tokio::test]
async fn invalid_request_is_told_from_failed_response() {
    let mut server = TestServer::start().await;
    let _socket = server.send(b"nothing of HTTP\r\n\r\n").await;
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::InvalidRequest);
    assert_eq!(end.unanswered_bytes, 19);

    let mut socket = TcpStream::connect(server.address).await.unwrap();
    let request = b"GET /broken HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write_all(request).await.unwrap();
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::ResponseFailed);
    assert!(end.is_request_open);
}

/// Guards against a planned stop that looks like an end of another kind.
#[tokio::test]
async fn shutdown_is_told_from_idle_timeout() {
    let mut server = TestServer::start_with(ServerLimits::default()).await;
    let _socket = server.send(REQUEST).await;
    server.shutdown.cancel();
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::Shutdown);
    assert!(end.is_between_requests());
}

/// Guards against a request that the server never read and whose connection ends like an idle one:
/// the caller sees a close without an answer, and the record shows none.
#[tokio::test]
async fn unread_request_is_told_from_idle_connection() {
    let mut server = TestServer::start_with(ServerLimits::default()).await;
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    // While the first request runs, hyper reads once more; the third request stays in the socket.
    for request in [b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n", REQUEST, REQUEST] {
        socket.write_all(request).await.unwrap();
        sleep(SLOW / 6).await;
    }
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::FinalResponse);
    assert!(!end.is_between_requests(), "{end:?}");
    assert_eq!(end.unread_bytes, REQUEST.len() as u64);
    assert_eq!((end.responses, end.is_request_open), (1, false));
}

/// Guards against a request that has arrived when a stopping server closes its connections and that
/// is not answered. The process pauses until the server has no more time to read.
#[tokio::test]
async fn request_at_shutdown_after_pause_is_answered() {
    let mut server = TestServer::start_with(ServerLimits::default()).await;
    let mut socket = server.send(REQUEST).await.into_std().unwrap();
    server.shutdown.cancel();
    sleep(IDLE_CLOSE_DELAY / 2).await;
    // Both timers have expired when the runtime runs again, so the request is written before the
    // runtime can see that the socket is readable.
    tokio::join!(
        async {
            sleep(IDLE_CLOSE_DELAY / 5).await;
            std::io::Write::write_all(&mut socket, REQUEST).unwrap();
        },
        async { std::thread::sleep(IDLE_CLOSE_DELAY) },
    );
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::Shutdown);
    assert_eq!((end.responses, end.unread_bytes), (2, 0), "{end:?}");
    assert!(end.is_between_requests(), "{end:?}");
}
