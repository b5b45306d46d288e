//! Caller that sends any bytes.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(15);

/// First answer on a connection; the status is 0 if the server closed without one.
#[derive(Debug, Default)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawAnswer {
    fn error(&self, field: &str) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn code(&self) -> String {
        self.error("code")
    }

    pub fn execution(&self) -> String {
        self.error("execution")
    }
}

/// Caller that sends any bytes.
pub struct RawCaller;

impl RawCaller {
    /// Sends `bytes` on a new connection, then closes its writing half if `ends`, and reads one
    /// answer.
    pub async fn exchange(to: SocketAddr, bytes: &[u8], ends: bool) -> RawAnswer {
        let mut stream = TcpStream::connect(to).await.unwrap();
        // The server may answer and close before everything is written.
        let _ = stream.write_all(bytes).await;
        if ends {
            let _ = stream.shutdown().await;
        }
        timeout(PATIENCE, read_answer(&mut stream))
            .await
            .unwrap_or_else(|_| {
                let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]);
                panic!("no answer to {sent}")
            })
    }
}

/// Reads one answer with a `Content-Length`, or what comes before the connection ends.
pub async fn read_answer(stream: &mut TcpStream) -> RawAnswer {
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
                return answer(head, body);
            }
        }
        if !matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
            let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
            return answer(head, body);
        }
    }
}

fn answer(head: &str, body: &str) -> RawAnswer {
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    RawAnswer {
        status: status.unwrap_or_default(),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}
