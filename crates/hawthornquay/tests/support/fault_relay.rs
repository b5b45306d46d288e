//! TCP relay that drops, holds, cuts or refuses connections.

use std::{
    net::{Ipv4Addr, SocketAddr},
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

/// Fault of a relay; it applies to open and to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    None,
    /// Discards what the client sends.
    DropToServer,
    /// Discards what the server sends.
    DropToClient,
    /// Reads nothing; what was sent meanwhile arrives later.
    Hold,
    /// Accepts connections and closes them.
    Cut,
    /// Refuses new connections and closes the open ones.
    Refuse,
}

/// TCP relay in front of one server that injects faults into its connections.
pub struct FaultRelay {
    pub address: SocketAddr,
    fault: watch::Sender<RelayFault>,
    moved: Arc<AtomicU64>,
    _reserved: TcpSocket,
}

impl FaultRelay {
    pub async fn start(target: SocketAddr) -> Self {
        // Stays bound without listening, so that the port is kept while connections are refused.
        let reserved = TcpSocket::new_v4().unwrap();
        reserved.set_reuseaddr(true).unwrap();
        reserved.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let address = reserved.local_addr().unwrap();
        let listener = TcpListener::bind(address).await.unwrap();
        let (fault, faults) = watch::channel(RelayFault::None);
        let moved = Arc::<AtomicU64>::default();
        tokio::spawn(serve(listener, address, target, faults, Arc::clone(&moved)));
        Self {
            address,
            fault,
            moved,
            _reserved: reserved,
        }
    }

    pub fn set_fault(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }

    /// Returns the bytes read so far.
    pub fn moved(&self) -> u64 {
        self.moved.load(Ordering::SeqCst)
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<RelayFault>,
    moved: Arc<AtomicU64>,
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
                    tokio::spawn(relay(client, target, faults.clone(), Arc::clone(&moved)));
                }
            }
        }
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<RelayFault>,
    moved: Arc<AtomicU64>,
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
        &moved,
    );
    let to_client = copy(
        server_read,
        client_write,
        faults,
        RelayFault::DropToClient,
        &moved,
    );
    tokio::join!(to_server, to_client);
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<RelayFault>,
    dropping: RelayFault,
    moved: &AtomicU64,
) {
    let mut buf = vec![0; 64 << 10];
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
        moved.fetch_add(len as u64, Ordering::SeqCst);
        if fault != dropping && to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
