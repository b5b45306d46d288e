//! TCP relay that can drop one or both directions of its connections, stall them or cut them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use super::ANY_PORT;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Discards the data from the client to the server.
    DropToServer,
    /// Discards the data from the server to the client.
    DropToClient,
    /// Discards the data of both directions but keeps the sockets open.
    HalfOpen,
    /// Stops reading from both sockets.
    Stall,
    /// Limits the data from the client to the server to [`SLOW_BYTES_PER_S`].
    SlowToServer,
    /// Closes both sockets.
    Cut,
}

/// Throughput of one connection between regions with small windows.
pub const SLOW_BYTES_PER_S: usize = 400 << 10;

struct Shared {
    target: SocketAddr,
    connections: Vec<watch::Sender<Fault>>,
}

pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Mutex::new(Shared {
            target,
            connections: Vec::new(),
        }));
        tokio::spawn(accept(listener, shared.clone()));
        Self { address, shared }
    }

    /// Applies a fault to the open connections; new ones work normally.
    pub fn fault_open(&self, fault: Fault) {
        for connection in &self.shared.lock().unwrap().connections {
            connection.send_replace(fault);
        }
    }

    /// Applies a fault to the connection with this index, in the order of opening.
    pub fn fault_one(&self, index: usize, fault: Fault) {
        self.shared.lock().unwrap().connections[index].send_replace(fault);
    }

    /// Relays new connections to another server.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.lock().unwrap().target = target;
    }

    pub fn accepted(&self) -> usize {
        self.shared.lock().unwrap().connections.len()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    while let Ok((client, _)) = listener.accept().await {
        let (faults, fault) = watch::channel(Fault::None);
        let target = {
            let mut shared = shared.lock().unwrap();
            shared.connections.push(faults);
            shared.target
        };
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::join!(
                copy(
                    client_read,
                    server_write,
                    fault.clone(),
                    Fault::DropToServer
                ),
                copy(server_read, client_write, fault, Fault::DropToClient),
            );
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    dropping: Fault,
) {
    let mut buf = vec![0; 64 << 10];
    loop {
        let current = *fault.borrow_and_update();
        if current == Fault::Cut {
            return;
        }
        let read = tokio::select! {
            changed = fault.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            read = from.read(&mut buf), if current != Fault::Stall => read,
        };
        let Ok(len @ 1..) = read else {
            return;
        };
        if current == dropping || current == Fault::HalfOpen {
            continue;
        }
        if current == Fault::SlowToServer && dropping == Fault::DropToServer {
            let took = Duration::from_secs(1).mul_f64(len as f64 / SLOW_BYTES_PER_S as f64);
            tokio::time::sleep(took).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
