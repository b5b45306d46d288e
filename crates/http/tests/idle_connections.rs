//! Announcement of the idle time-out.

use std::{net::SocketAddr, time::Duration};

use gotham::{
    prelude::{DefineSingleRoute, DrawRoutes},
    router::{Router, build_simple_router},
    state::State,
};
use hawthornquay_http::{Body, HttpServer, ServerLimits, empty_response};
use http::{HeaderValue, Response, StatusCode, header};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn answer(state: State) -> (State, Response<Body>) {
    (state, empty_response(StatusCode::OK))
}

fn answer_last(state: State) -> (State, Response<Body>) {
    let mut res = empty_response(StatusCode::OK);
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    (state, res)
}

fn router() -> Router {
    build_simple_router(|route| {
        route.get("/").to(answer);
        route.get("/last").to(answer_last);
    })
}

fn limits(header_timeout: Duration) -> ServerLimits {
    ServerLimits {
        header_timeout,
        ..ServerLimits::default()
    }
}

async fn start(header_timeout: Duration) -> (SocketAddr, watch::Sender<ServerLimits>) {
    let (tx, rx) = watch::channel(limits(header_timeout));
    let first = limits(header_timeout);
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), router(), first)
        .await
        .unwrap()
        .with_limit_updates(rx);
    let address = server.local_addr().unwrap();
    tokio::spawn(server.serve(CancellationToken::new()));
    (address, tx)
}

/// Sends a request for `path` and returns the value of the response's `Keep-Alive`.
async fn ask(socket: &mut TcpStream, path: &str) -> Option<String> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut buf = [0; 1_024];
    let read = timeout(TEST_TIMEOUT, socket.read(&mut buf)).await;
    let response = String::from_utf8_lossy(&buf[..read.unwrap().unwrap()]).into_owned();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    response
        .lines()
        .find_map(|line| line.strip_prefix("keep-alive: "))
        .map(str::to_owned)
}

/// Guards against clients that send a request on an idle connection just as the server closes it.
/// Without an announcement they use a connection until they see its end.
#[tokio::test]
async fn response_announces_time_before_idle_timeout() {
    let (address, limits_tx) = start(Duration::from_secs(15)).await;
    let mut socket = TcpStream::connect(address).await.unwrap();
    assert_eq!(ask(&mut socket, "/").await.as_deref(), Some("timeout=12"));
    limits_tx.send_replace(limits(Duration::from_secs(30)));
    assert_eq!(ask(&mut socket, "/").await.as_deref(), Some("timeout=24"));
}

/// Guards against an announcement that contradicts the end of the connection, or that is longer than
/// the time-out because it is rounded to whole seconds.
#[tokio::test]
async fn response_without_reusable_time_announces_none() {
    let (address, limits_tx) = start(Duration::from_secs(15)).await;
    let mut socket = TcpStream::connect(address).await.unwrap();
    assert_eq!(ask(&mut socket, "/last").await, None);
    limits_tx.send_replace(limits(Duration::from_millis(1_200)));
    let mut socket = TcpStream::connect(address).await.unwrap();
    assert_eq!(ask(&mut socket, "/").await, None);
}
