//! Scripted HTTP server for the tests of the client.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Delay before a reset, in which the client reads what was sent before.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Behaviour of the server for each request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes the text and keeps the connection open.
    Text(String),
    /// Writes the text for the first request on each connection and ignores later ones.
    TextOnce(String),
    /// Writes the text and closes the connection.
    TextThenClose(String),
    /// Writes the text and resets the connection after [`RESET_DELAY`].
    TextThenReset(String),
    /// Writes the text and then nothing until the client closes the connection.
    TextThenStall(String),
}

/// Connections and requests that the server has received.
#[derive(Debug, Default)]
pub struct Received {
    /// Number of accepted connections.
    pub connections: usize,
    /// Number of connections that the client has closed.
    pub closed: usize,
    /// Text of each request, head and body.
    pub requests: Vec<String>,
}

/// Scripted server that listens on a free port.
#[derive(Debug)]
pub struct FakeServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Received>>,
}

impl FakeServer {
    pub async fn start(reply: Reply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Received::default()));
        let shared = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.lock().connections += 1;
                tokio::spawn(serve(stream, reply.clone(), Arc::clone(&shared)));
            }
        });
        Self { address, received }
    }

    pub fn requests(&self) -> Vec<String> {
        self.received.lock().requests.clone()
    }

    pub fn connections(&self) -> usize {
        self.received.lock().connections
    }

    /// Waits up to 5 s until the client has closed `count` connections; returns whether it has.
    pub async fn client_closed(&self, count: usize) -> bool {
        timeout(Duration::from_secs(5), async {
            while self.received.lock().closed < count {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .is_ok()
    }
}

/// Returns the text of a response with a `Content-Length` header.
pub fn response_text(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn serve(mut stream: TcpStream, reply: Reply, received: Arc<Mutex<Received>>) {
    let mut has_replied = false;
    while let Some(request) = read_request(&mut stream).await {
        received.lock().requests.push(request);
        if has_replied && matches!(reply, Reply::TextOnce(_)) {
            continue;
        }
        has_replied = true;
        let (text, keeps_open, stalls) = match &reply {
            Reply::Text(text) | Reply::TextOnce(text) => (text, true, false),
            Reply::TextThenClose(text) | Reply::TextThenReset(text) => (text, false, false),
            Reply::TextThenStall(text) => (text, true, true),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
        if stalls {
            let _ = stream.read(&mut [0; 64]).await;
            break;
        }
        if matches!(reply, Reply::TextThenReset(_)) {
            sleep(RESET_DELAY).await;
            stream.set_zero_linger().unwrap();
        }
        if !keeps_open {
            return;
        }
    }
    received.lock().closed += 1;
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut part = [0; 4096];
        let count = stream.read(&mut part).await.ok()?;
        if count == 0 {
            return None;
        }
        buf.extend_from_slice(&part[..count]);
    }
}
