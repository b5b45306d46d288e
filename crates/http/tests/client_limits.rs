//! Connections that are ended while memory or connections run short, and clients that are left alone.
#![allow(missing_docs)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gotham::{
    handler::HandlerFuture,
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::{FromState, State},
};
use hawthornquay_http::{
    Body, ConnectionEnd, EndReason, HttpServer, MemoryBudget, ServerLimits, empty_response,
    read_charged_body,
};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const MEMORY_BYTES: usize = 32 << 20;
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Size of a response that does not fit into the buffers of sockets.
const LARGE_BYTES: usize = 16 << 20;

/// Time for which a request to `/wait` runs.
const WAIT: Duration = Duration::from_millis(1_500);

struct TestServer {
    address: SocketAddr,
    memory: MemoryBudget,
    /// Requests that a handler was called for.
    handled: Arc<AtomicUsize>,
    ends: mpsc::UnboundedReceiver<ConnectionEnd>,
}

impl TestServer {
    async fn start(limits: ServerLimits) -> Self {
        let memory = MemoryBudget::new(MEMORY_BYTES);
        let handled = Arc::default();
        let (tx, ends) = mpsc::unbounded_channel();
        let router = router(&memory, &handled);
        let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), router, limits)
            .await
            .unwrap()
            .with_memory(memory.clone())
            .with_end_observer(move |end| {
                // The test may have ended.
                let _ = tx.send(*end);
            });
        let address = server.local_addr().unwrap();
        tokio::spawn(server.serve(CancellationToken::new()));
        Self {
            address,
            memory,
            handled,
            ends,
        }
    }

    /// Uses up memory beside that of connections, from which on the server ends some of them.
    fn press(&self) -> hawthornquay_http::MemoryCharge {
        self.memory.charge(MEMORY_BYTES / 4 * 3)
    }

    async fn next_end(&mut self) -> ConnectionEnd {
        timeout(TEST_TIMEOUT, self.ends.recv())
            .await
            .expect("the end is reported")
            .unwrap()
    }

    async fn send(&self, text: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let mut socket = socket.connect(self.address).await.unwrap();
        socket.write_all(text.as_bytes()).await.unwrap();
        socket
    }
}

fn limits() -> ServerLimits {
    ServerLimits {
        request_stall_timeout: STALL_TIMEOUT,
        response_stall_timeout: STALL_TIMEOUT,
        ..ServerLimits::default()
    }
}

fn router(memory: &MemoryBudget, handled: &Arc<AtomicUsize>) -> Router {
    build_simple_router(|route| {
        let count = Arc::clone(handled);
        route.get("/").to_new_handler(move || {
            let count = Arc::clone(&count);
            Ok(move |state: State| {
                count.fetch_add(1, Ordering::Relaxed);
                (state, empty_response(StatusCode::OK))
            })
        });
        route.get("/large").to(|state: State| {
            let body = Full::new(Bytes::from(vec![b'y'; LARGE_BYTES]));
            let body = body.map_err(|never| match never {});
            (state, Response::new(Body::new(body)))
        });
        route.get("/wait").to_async_borrowing(wait);
        let memory = memory.clone();
        route.post("/read").to_new_handler(move || {
            let memory = memory.clone();
            Ok(move |state| read(state, memory))
        });
    })
}

async fn wait(_: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    sleep(WAIT).await;
    Ok(empty_response(StatusCode::OK))
}

fn read(mut state: State, memory: MemoryBudget) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::take_from(&mut state);
        let status = match read_charged_body(body, 1 << 20, TEST_TIMEOUT, &memory).await {
            Ok(_) => StatusCode::OK,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        Ok((state, empty_response(status)))
    })
}

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const LARGE: &str = "GET /large HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const PARTIAL: &str = "POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\nbbbb";

async fn status(socket: &mut TcpStream) -> String {
    let mut head = [0; 12];
    match timeout(TEST_TIMEOUT, socket.read_exact(&mut head))
        .await
        .unwrap()
    {
        Ok(_) => String::from_utf8_lossy(&head[9..]).into_owned(),
        Err(_) => "closed".to_owned(),
    }
}

/// Guards against bodies that stop short of their end and hold memory that others need, and against
/// requests that are broken off although their clients have done their part.
#[tokio::test]
async fn stalled_sender_under_pressure_ended_beside_running_request() {
    let mut server = TestServer::start(limits()).await;
    let mut sender = server.send(PARTIAL).await;
    let mut running = server.send("GET /wait HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let _used = server.press();
    assert_eq!(status(&mut sender).await, "closed");
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::Pressure);
    assert!(end.is_request_open);
    assert_eq!(status(&mut running).await, "200");
}

/// Guards against clients that send or read slowly and are ended in calm conditions.
#[tokio::test]
async fn slow_clients_without_pressure_served() {
    let server = TestServer::start(limits()).await;
    let mut sender = server.send(PARTIAL).await;
    let mut reader = server.send(LARGE).await;
    let mut read = 0;
    let mut buf = vec![0; 4 << 20];
    loop {
        sleep(STALL_TIMEOUT * 2).await;
        let mut part = 0;
        while part < buf.len() {
            let len = timeout(TEST_TIMEOUT, reader.read(&mut buf[part..]))
                .await
                .unwrap()
                .unwrap();
            part += len;
            if len == 0 {
                break;
            }
        }
        read += part;
        if part < buf.len() {
            break;
        }
    }
    assert!(read > LARGE_BYTES, "{read}");
    sender.write_all(&[b'b'; 99_996]).await.unwrap();
    assert_eq!(status(&mut sender).await, "200");
}

/// Guards against responses that are held for clients that do not read them.
#[tokio::test]
async fn stalled_reader_under_pressure_ended() {
    let mut server = TestServer::start(limits()).await;
    let _reader = server.send(LARGE).await;
    let _used = server.press();
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::Pressure);
}

/// Guards against responses that wait for the window of a client that speaks HTTP/2, whose socket
/// accepts data all the time.
#[tokio::test]
async fn stalled_http2_reader_under_pressure_ended() {
    let mut server = TestServer::start(limits()).await;
    let socket = TcpStream::connect(server.address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(1_000)
        .handshake::<_, Full<Bytes>>(TokioIo::new(socket))
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let req = http::Request::get("http://x/large").body(Full::default());
    let res = timeout(TEST_TIMEOUT, sender.send_request(req.unwrap()))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(res.status(), StatusCode::OK);
    sleep(STALL_TIMEOUT * 2).await;
    assert!(!connection.is_finished());
    let _used = server.press();
    assert_eq!(server.next_end().await.reason, EndReason::Pressure);
}

/// Guards against idle connections that keep others from being accepted.
#[tokio::test]
async fn idle_connections_at_limit_make_room() {
    let mut server = TestServer::start(ServerLimits {
        max_connections: 8,
        ..limits()
    })
    .await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        let mut socket = server.send(REQUEST).await;
        assert_eq!(status(&mut socket).await, "200");
        idle.push(socket);
    }
    let mut other = server.send(REQUEST).await;
    assert_eq!(status(&mut other).await, "200");
    let end = server.next_end().await;
    assert_eq!(end.reason, EndReason::Pressure);
    assert!(end.is_between_requests());
}

/// Guards against connections without a first request that stay open for ever.
#[tokio::test]
async fn connection_without_request_ended_after_header_timeout() {
    for (text, reason) in [
        ("", EndReason::IdleTimeout),
        ("PRI * HTTP", EndReason::HeadTimeout),
    ] {
        let mut server = TestServer::start(ServerLimits {
            header_timeout: STALL_TIMEOUT,
            ..ServerLimits::default()
        })
        .await;
        let mut socket = server.send(text).await;
        assert_eq!(status(&mut socket).await, "closed");
        assert_eq!(server.next_end().await.reason, reason, "{text}");
    }
}

/// Guards against a request that is run although it is refused for lack of memory, and against
/// charges that outlive their connections.
#[tokio::test]
async fn request_without_memory_for_head_refused_and_not_run() {
    let mut server = TestServer::start(limits()).await;
    let mut socket = server.send("").await;
    while server.memory.used() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let used = server.memory.charge(MEMORY_BYTES - server.memory.used());
    socket.write_all(REQUEST.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut response)).await;
    read.unwrap().unwrap();
    let response = String::from_utf8(response).unwrap().to_lowercase();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 1\r\n"), "{response}");
    assert_eq!(server.handled.load(Ordering::Relaxed), 0);
    drop(used);
    let mut socket = server.send(REQUEST).await;
    assert_eq!(status(&mut socket).await, "200");
    drop(socket);
    for _ in 0..2 {
        server.next_end().await;
    }
    assert_eq!(server.memory.used(), 0);
}
