//! Client that sends arbitrary bytes over TCP.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// First response on a connection; its status is 0 if the server closed without a response.
#[derive(Debug, Default)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawResponse {
    fn error(&self, field: &str) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the code of a refusal, and an empty text for other bodies.
    pub fn code(&self) -> String {
        self.error("code")
    }

    /// Returns the `execution` field of a refusal, and an empty text for other bodies.
    pub fn execution(&self) -> String {
        self.error("execution")
    }
}

/// Client that sends arbitrary bytes over a new connection.
pub struct RawCaller;

impl RawCaller {
    /// Sends `bytes` on a new connection, closes the write half if `half_close` is set, and reads
    /// one response.
    ///
    /// # Panics
    ///
    /// Panics if no response and no end of the connection is received in time.
    pub async fn exchange(to: SocketAddr, bytes: &[u8], half_close: bool) -> RawResponse {
        let mut stream = TcpStream::connect(to).await.unwrap();
        // The server may respond and close before all bytes are written.
        let _ = stream.write_all(bytes).await;
        if half_close {
            let _ = stream.shutdown().await;
        }
        timeout(RESPONSE_TIMEOUT, read_response(&mut stream))
            .await
            .unwrap_or_else(|_| {
                let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]);
                panic!("no response within {RESPONSE_TIMEOUT:?} to {sent}")
            })
    }
}

/// Reads one response with a `Content-Length`, or all bytes until the connection ends.
pub async fn read_response(stream: &mut TcpStream) -> RawResponse {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().unwrap())
            });
            if len.is_some_and(|len| body.len() >= len) {
                return raw_response(head, body);
            }
        }
        if !matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
            let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
            return raw_response(head, body);
        }
    }
}

fn raw_response(head: &str, body: &str) -> RawResponse {
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    RawResponse {
        status: status.unwrap_or_default(),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}
