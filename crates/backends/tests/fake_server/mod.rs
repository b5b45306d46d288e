//! Scripted server for the tests of the client.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// What the server does with each request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes the text and keeps the connection.
    Text(String),
    /// Answers the first request on each connection and none after it.
    TextOnce(String),
    /// Writes the text and closes the connection.
    TextThenClose(String),
    /// Writes the text and stays silent until the client closes.
    TextThenSilence(String),
}

/// What the server saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Connections accepted.
    pub connections: usize,
    /// Connections that the client closed.
    pub closed: usize,
    /// Requests, with head and body.
    pub requests: Vec<String>,
}

/// Server on a port of its own.
#[derive(Debug)]
pub struct FakeServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl FakeServer {
    pub async fn start(reply: Reply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = Arc::clone(&seen);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.lock().connections += 1;
                tokio::spawn(serve(stream, reply.clone(), Arc::clone(&shared)));
            }
        });
        Self { address, seen }
    }

    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().requests.clone()
    }

    pub fn connections(&self) -> usize {
        self.seen.lock().connections
    }

    /// Waits until the client has closed `count` connections.
    pub async fn client_closed(&self, count: usize) -> bool {
        timeout(Duration::from_secs(5), async {
            while self.seen.lock().closed < count {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .is_ok()
    }
}

/// Builds an answer with a `Content-Length`.
pub fn answer(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn serve(mut stream: TcpStream, reply: Reply, seen: Arc<Mutex<Seen>>) {
    let mut answered = false;
    while let Some(request) = read_request(&mut stream).await {
        seen.lock().requests.push(request);
        if answered && matches!(reply, Reply::TextOnce(_)) {
            continue;
        }
        answered = true;
        let (text, keeps, silent) = match &reply {
            Reply::Text(text) | Reply::TextOnce(text) => (text, true, false),
            Reply::TextThenClose(text) => (text, false, false),
            Reply::TextThenSilence(text) => (text, true, true),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
        if silent {
            let _ = stream.read(&mut [0; 64]).await;
            break;
        }
        if !keeps {
            return;
        }
    }
    seen.lock().closed += 1;
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
