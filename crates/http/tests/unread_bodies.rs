//! Responses that are sent before the request body has arrived.

use std::{net::SocketAddr, time::Duration};

use gotham::{
    handler::HandlerFuture, helpers::http::Body, prelude::*, router::build_simple_router,
    state::State,
};
use hawthornquay_http::{HttpServer, ServerLimits, empty_response, read_body};
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a request body in bytes.
const BODY_BYTES: usize = 200_000;

/// Size of the parts in which the client sends the body.
const PART_BYTES: usize = 10_000;

/// Refuses without reading the body.
fn refuse(state: State) -> (State, http::Response<Body>) {
    (state, empty_response(StatusCode::FORBIDDEN))
}

/// Refuses a body that is too large, after the first part of it.
fn limit(mut state: State) -> std::pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::take_from(&mut state);
        let status = match read_body(body, PART_BYTES / 2, TEST_TIMEOUT).await {
            Ok(_) => StatusCode::OK,
            Err(_) => StatusCode::PAYLOAD_TOO_LARGE,
        };
        Ok((state, empty_response(status)))
    })
}

async fn start() -> SocketAddr {
    let router = build_simple_router(|route| {
        route.post("/refuse").to(refuse);
        route.post("/limit").to(limit);
    });
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), router, ServerLimits::default())
        .await
        .unwrap();
    let address = server.local_addr().unwrap();
    tokio::spawn(server.serve(CancellationToken::new()));
    address
}

/// Sends a request in parts, then a second one on the same connection, and returns both responses.
async fn call_twice(address: SocketAddr, path: &str, chunked: bool) -> std::io::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {BODY_BYTES}")
    };
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\n{framing}\r\n\r\n");
    socket.write_all(head.as_bytes()).await?;
    let part = [b'x'; PART_BYTES];
    for _ in 0..BODY_BYTES / PART_BYTES {
        if chunked {
            socket
                .write_all(format!("{PART_BYTES:x}\r\n").as_bytes())
                .await?;
        }
        socket.write_all(&part).await?;
        if chunked {
            socket.write_all(b"\r\n").await?;
        }
        sleep(Duration::from_millis(2)).await;
    }
    if chunked {
        socket.write_all(b"0\r\n\r\n").await?;
    }
    let next = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {PART_BYTES}\r\n\r\n"
    );
    socket.write_all(next.as_bytes()).await?;
    socket.write_all(&part).await?;
    let mut responses = String::new();
    socket.read_to_string(&mut responses).await?;
    Ok(responses)
}

/// Guards against a response that the client never receives: the server answered before it had read
/// the body and closed the connection, which reset it while the client was still sending.
#[tokio::test]
async fn response_before_body_reaches_client_that_still_sends() {
    let address = start().await;
    for (path, status) in [("/refuse", "403"), ("/limit", "413")] {
        for chunked in [false, true] {
            let responses = timeout(TEST_TIMEOUT, call_twice(address, path, chunked))
                .await
                .expect("the server closes the connection")
                .unwrap_or_else(|error| panic!("{path}, chunked {chunked}: {error}"));
            let count = responses.matches(&format!("HTTP/1.1 {status}")).count();
            assert_eq!(count, 2, "{path}, chunked {chunked}: {responses:?}");
        }
    }
}
