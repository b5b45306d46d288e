//! Fixtures shared by the tests of the client.
#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

use std::{net::SocketAddr, time::Duration};

use hawthornquay_store::{
    CallTimeouts, PlatformClient, PlatformError, StoreRevision, UnknownOutcomeCause,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn short_timeouts() -> CallTimeouts {
    CallTimeouts {
        connect: Duration::from_millis(150),
        call: Duration::from_millis(300),
        watch_margin: Duration::from_millis(100),
    }
}

pub fn client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(address, short_timeouts())
}

/// Returns a revision of a store that never came back from a copy.
pub const fn revision(revision: u64) -> StoreRevision {
    StoreRevision { era: 0, revision }
}

/// Returns a name for the variant of a result, for comparison in tables of cases.
pub fn outcome<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::Conflict { current: None }) => "conflict, absent",
        Err(PlatformError::Conflict { current: Some(_) }) => "conflict, present",
        Err(PlatformError::NotFound) => "not found",
        Err(PlatformError::HistoryDiscarded) => "history discarded",
        Err(PlatformError::Outage) => "outage",
        Err(PlatformError::RateExceeded) => "rate exceeded",
        Err(PlatformError::TooLarge) => "too large",
        Err(PlatformError::Unreachable(_)) => "unreachable",
        Err(PlatformError::UnknownOutcome(cause)) => match cause {
            UnknownOutcomeCause::ConnectionLost(_) => "unknown, connection lost",
            UnknownOutcomeCause::EraChanged => "unknown, era changed",
            UnknownOutcomeCause::Malformed(_) => "unknown, malformed",
            UnknownOutcomeCause::DifferentValue { .. } => "unknown, different value",
            UnknownOutcomeCause::Timeout => "unknown, timeout",
            UnknownOutcomeCause::UnexpectedStatus(_) => "unknown, status",
        },
    }
}

/// Behaviour of a scripted server for one request.
#[derive(Clone, Debug)]
pub enum Reply {
    Respond(u16, String),
    Close,
    Stall,
}

/// Starts a server that handles one request on each connection with the next of `replies`; returns
/// its address.
pub async fn start_scripted_server(replies: Vec<Reply>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut stalled = Vec::new();
        for reply in replies {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            match reply {
                Reply::Respond(status, body) => respond(&mut stream, status, &body, "close").await,
                Reply::Close => {}
                Reply::Stall => stalled.push(stream),
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

pub async fn respond(stream: &mut TcpStream, status: u16, body: &str, connection: &str) {
    let head = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\nconnection: {connection}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

/// Reads one request; returns false if the connection was closed first.
pub async fn read_request(stream: &mut TcpStream) -> bool {
    let mut buf = Vec::new();
    loop {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return false;
        }
        let text = String::from_utf8_lossy(&buf).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            return true;
        }
    }
}
