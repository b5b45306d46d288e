//! Stop of a server while callers connect and send requests.

use std::time::Duration;

use gotham::{
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::State,
};
use hawthornquay_http::{Body, HttpServer, ServerLimits, empty_response};
use http::{Response, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

fn answer(state: State) -> (State, Response<Body>) {
    (state, empty_response(StatusCode::OK))
}

fn router() -> Router {
    build_simple_router(|route| route.get("/").to(answer))
}

async fn read_all(mut socket: TcpStream) -> String {
    let mut buf = Vec::new();
    let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut buf)).await;
    // A reset ends the response like a close.
    let _ = read.expect("the server closes the connection");
    String::from_utf8_lossy(&buf).into_owned()
}

/// Guards against requests that are cut off without a response because the operating system has
/// accepted their connections and the stopping server has not.
#[tokio::test]
async fn shutdown_answers_requests_on_connections_in_accept_queue() {
    for _ in 0..10 {
        let address = ([127, 0, 0, 1], 0).into();
        let server = HttpServer::bind(address, router(), ServerLimits::default())
            .await
            .unwrap();
        let address = server.local_addr().unwrap();
        let mut sockets = Vec::new();
        for _ in 0..20 {
            let mut socket = TcpStream::connect(address).await.unwrap();
            socket.write_all(REQUEST).await.unwrap();
            sockets.push(socket);
        }
        let shutdown = CancellationToken::new();
        shutdown.cancel();
        let stopped = tokio::spawn(server.serve(shutdown));
        for socket in sockets {
            let response = read_all(socket).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        }
        assert!(stopped.await.unwrap());
    }
}

/// Guards against a second request of a kept connection that has arrived but has not been read when
/// the server closes its idle connections.
#[tokio::test]
async fn shutdown_answers_request_that_arrives_with_it() {
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::bind(address, router(), ServerLimits::default())
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let shutdown = CancellationToken::new();
    let stopped = tokio::spawn(server.serve(shutdown.clone()));
    let mut sockets = Vec::new();
    for _ in 0..20 {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(REQUEST).await.unwrap();
        let mut buf = [0; 1_024];
        let read = socket.read(&mut buf).await.unwrap();
        assert!(buf[..read].starts_with(b"HTTP/1.1 200"));
        sockets.push(socket);
    }
    shutdown.cancel();
    for socket in &mut sockets {
        socket.write_all(REQUEST).await.unwrap();
    }
    for socket in sockets {
        let response = read_all(socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    }
    assert!(stopped.await.unwrap());
}

/// Guards against connections that are reset because the accept queue holds more of them than the
/// runtime accepts without a pause.
#[tokio::test]
async fn shutdown_answers_requests_of_long_accept_queue() {
    let address = ([127, 0, 0, 1], 0).into();
    let server = HttpServer::bind(address, router(), ServerLimits::default())
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    let mut sockets = Vec::new();
    for _ in 0..120 {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(REQUEST).await.unwrap();
        sockets.push(socket);
    }
    let shutdown = CancellationToken::new();
    shutdown.cancel();
    let stopped = tokio::spawn(server.serve(shutdown));
    let mut cut = 0;
    for socket in sockets {
        cut += usize::from(!read_all(socket).await.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(cut, 0, "connections without a response");
    assert!(stopped.await.unwrap());
}
