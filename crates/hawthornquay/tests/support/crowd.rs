//! Crowd of clients that send without reading responses.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
};

/// Receive buffer of a client, in bytes, so that a few unread responses fill it.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// What each client of a crowd sends before it stalls with its connection open.
#[derive(Clone)]
pub struct ClientScript {
    /// Sent once.
    pub start: Bytes,
    /// Sent `pieces` times, each time with writes of its own.
    pub piece: Bytes,
    pub pieces: usize,
}

/// Clients that keep their connections open until the crowd is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    written: Arc<AtomicU64>,
}

impl Crowd {
    /// Starts `count` clients, which connect to `to`.
    pub fn start(to: SocketAddr, count: usize, script: &ClientScript) -> Self {
        let written = Arc::<AtomicU64>::default();
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (script, written) = (script.clone(), Arc::clone(&written));
            clients.spawn(async move {
                let Some(mut stream) = connect(to).await else {
                    return;
                };
                // The server may close the connection at any time.
                let _ = send(&mut stream, &script, &written).await;
                std::future::pending::<()>().await;
            });
        }
        Self { clients, written }
    }

    /// Returns the number of bytes that all clients together have written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.clients.shutdown().await;
    }
}

async fn connect(to: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(to).await.ok()
}

async fn send(
    stream: &mut TcpStream,
    script: &ClientScript,
    written: &AtomicU64,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let pieces = std::iter::repeat_n(&script.piece, script.pieces);
    for data in std::iter::once(&script.start).chain(pieces) {
        let mut left = &data[..];
        while !left.is_empty() {
            let len = stream.write(left).await?;
            written.fetch_add(len as u64, Ordering::Relaxed);
            left = &left[len..];
        }
    }
    Ok(())
}
