//! TCP relay that injects faults into connections.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Fault that a relay injects into its open and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    None,
    /// Discards the bytes that the client sends.
    DropToServer,
    /// Discards the bytes that the server sends.
    DropToClient,
    /// Stops forwarding; the bytes are delivered after the fault ends.
    Hold,
    /// Sends a second copy of a connection's former response as soon as its next request has been
    /// sent.
    RepeatResponse,
    /// Closes the open connections, and accepts and closes new ones.
    Cut,
    /// Refuses new connections and closes the open ones.
    Refuse,
}

/// TCP relay in front of one server that injects faults into its connections.
pub struct FaultRelay {
    pub address: SocketAddr,
    fault: watch::Sender<RelayFault>,
    bytes_read: Arc<AtomicU64>,
    _reserved: TcpSocket,
}

impl FaultRelay {
    /// Starts a relay to `target` without a fault.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_on(Ipv4Addr::LOCALHOST.into(), target).await
    }

    /// Starts a relay to `target` on a local IP address, which other tests do not use: on a shared
    /// one, another process may take the port while the relay refuses connections.
    pub async fn start_on(ip: IpAddr, target: SocketAddr) -> Self {
        // This socket is bound but does not listen. It keeps the port reserved while connections
        // are refused.
        let reserved = TcpSocket::new_v4().unwrap();
        reserved.set_reuseaddr(true).unwrap();
        reserved.bind((ip, 0).into()).unwrap();
        let address = reserved.local_addr().unwrap();
        let listener = TcpListener::bind(address).await.unwrap();
        let (fault, faults) = watch::channel(RelayFault::None);
        let bytes_read = Arc::<AtomicU64>::default();
        tokio::spawn(serve(
            listener,
            address,
            target,
            faults,
            Arc::clone(&bytes_read),
        ));
        Self {
            address,
            fault,
            bytes_read,
            _reserved: reserved,
        }
    }

    pub fn set_fault(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }

    /// Returns the number of bytes read so far, in both directions.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::SeqCst)
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<RelayFault>,
    bytes_read: Arc<AtomicU64>,
) {
    let mut listener = Some(listener);
    loop {
        let fault = *faults.borrow_and_update();
        if fault == RelayFault::Refuse {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(bound) = &listener else {
            listener = Some(TcpListener::bind(address).await.unwrap());
            continue;
        };
        tokio::select! {
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = bound.accept() => {
                if let Ok((client, _)) = accepted && fault != RelayFault::Cut {
                    tokio::spawn(relay(client, target, faults.clone(), Arc::clone(&bytes_read)));
                }
            }
        }
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<RelayFault>,
    bytes_read: Arc<AtomicU64>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = copy(
        client_read,
        server_write,
        faults.clone(),
        RelayFault::DropToServer,
        &bytes_read,
    );
    let to_client = copy(
        server_read,
        client_write,
        faults,
        RelayFault::DropToClient,
        &bytes_read,
    );
    tokio::join!(to_server, to_client);
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<RelayFault>,
    drop_fault: RelayFault,
    bytes_read: &AtomicU64,
) {
    let mut buf = vec![0; 64 << 10];
    let mut former = Vec::new();
    loop {
        let fault = *faults.borrow_and_update();
        if matches!(fault, RelayFault::Cut | RelayFault::Refuse) {
            return;
        }
        let read = tokio::select! {
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            read = from.read(&mut buf), if fault != RelayFault::Hold => read,
        };
        let Ok(len @ 1..) = read else {
            return;
        };
        bytes_read.fetch_add(len as u64, Ordering::SeqCst);
        if fault == RelayFault::RepeatResponse && drop_fault == RelayFault::DropToClient {
            // The response to the next request follows the copy on the connection.
            let copy = std::mem::replace(&mut former, buf[..len].to_vec());
            if to.write_all(&copy).await.is_err() {
                return;
            }
        }
        if fault != drop_fault && to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
