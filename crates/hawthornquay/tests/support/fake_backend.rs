//! Backend server that records the requests it receives.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Server that returns an empty JSON object for each `POST` and status 404 for anything else, such
/// as load reports.
pub struct FakeBackend {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl FakeBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::<Mutex<Vec<String>>>::default();
        let recorded = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&recorded)));
            }
        });
        Self { address, received }
    }

    /// Returns the received requests, each with its head and body.
    pub fn requests(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }
}

async fn serve(mut stream: TcpStream, received: Arc<Mutex<Vec<String>>>) {
    let mut buf = Vec::new();
    while let Some(text) = read_request(&mut stream, &mut buf).await {
        let status = if text.starts_with("POST") {
            "200 OK"
        } else {
            "404 Not Found"
        };
        received.lock().unwrap().push(text);
        let response = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().unwrap())
            });
            if body.len() >= len.unwrap_or_default() {
                buf.clear();
                return Some(text);
            }
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}
