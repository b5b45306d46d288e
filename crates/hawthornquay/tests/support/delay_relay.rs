//! TCP relay that delays traffic, and holds, drops or refuses connections on request.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

const BUFFER_BYTES: usize = 64 << 10;

/// Direction of traffic through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToServer,
    ToClient,
}

/// Address in the data of the server, and its replacement of the same length.
pub type Rewrite = (String, String);

#[derive(Clone, Default)]
struct RelayState {
    target: Option<SocketAddr>,
    rewrites: Arc<Vec<Rewrite>>,
    refusing: bool,
    /// Whether the bytes of each direction are held back.
    held: [bool; 2],
    /// For each direction, connections with a lower number forward no further bytes.
    stalled_below: [u64; 2],
    /// Connections accepted so far; the next connection gets this number.
    connections: u64,
}

/// Relay in front of one server, with a fixed delay in each direction.
pub struct DelayRelay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl DelayRelay {
    /// Starts listening; connections are closed until a target is set.
    pub async fn start(one_way: Duration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = watch::Sender::new(RelayState::default());
        let task = tokio::spawn(accept(listener, state.clone(), one_way));
        Self {
            address,
            state,
            task,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Sets the addresses to replace in the data that the server sends.
    pub fn set_rewrites(&self, rewrites: Vec<Rewrite>) {
        self.state
            .send_modify(|state| state.rewrites = Arc::new(rewrites));
    }

    /// Sets whether the open connections and all new ones are closed.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }

    /// Sets whether the bytes of one direction are held back; held bytes are delivered later.
    pub fn set_held(&self, direction: Direction, held: bool) {
        self.state
            .send_modify(|state| state.held[direction as usize] = held);
    }

    /// Stops one direction of all open connections for good; new connections are not affected.
    pub fn stall_open_connections(&self, direction: Direction) {
        self.state
            .send_modify(|state| state.stalled_below[direction as usize] = state.connections);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.borrow().connections
    }
}

impl Drop for DelayRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: watch::Sender<RelayState>, one_way: Duration) {
    while let Ok((client, _)) = listener.accept().await {
        let mut number = 0;
        state.send_modify(|state| {
            number = state.connections;
            state.connections += 1;
        });
        tokio::spawn(relay(client, state.subscribe(), number, one_way));
    }
}

/// Forwards one connection until both directions end or the relay closes it.
async fn relay(
    client: TcpStream,
    mut state: watch::Receiver<RelayState>,
    number: u64,
    one_way: Duration,
) {
    let Some(target) = state.borrow().target else {
        return;
    };
    if state.borrow().refusing {
        return;
    }
    sleep(one_way).await;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let forwarder = |direction, from, to| Forwarder {
        direction,
        number,
        one_way,
        state: state.clone(),
        from,
        to,
    };
    let up = forwarder(Direction::ToServer, from_client, to_server);
    let down = forwarder(Direction::ToClient, from_server, to_client);
    tokio::select! {
        _ = async { tokio::join!(up.run(), down.run()) } => {}
        _ = state.wait_for(|state| state.refusing) => {}
    }
}

/// One direction of one connection.
struct Forwarder {
    direction: Direction,
    number: u64,
    one_way: Duration,
    state: watch::Receiver<RelayState>,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
}

impl Forwarder {
    async fn run(self) {
        let Self {
            direction,
            number,
            one_way,
            mut state,
            mut from,
            mut to,
        } = self;
        let rewrites = match direction {
            Direction::ToServer => Arc::default(),
            Direction::ToClient => Arc::clone(&state.borrow().rewrites),
        };
        let (tx, mut rx) = mpsc::unbounded_channel();
        let read = async move {
            let mut buf = Vec::with_capacity(BUFFER_BYTES);
            while matches!(from.read_buf(&mut buf).await, Ok(len) if len > 0) {
                let incomplete = rewrite(&mut buf, &rewrites);
                let rest = buf.split_off(buf.len() - incomplete);
                let _ = tx.send((Instant::now() + one_way, std::mem::replace(&mut buf, rest)));
            }
            let _ = tx.send((Instant::now() + one_way, buf));
        };
        let write = async move {
            while let Some((due, data)) = rx.recv().await {
                sleep_until(due).await;
                let open = state
                    .wait_for(|state| {
                        !state.held[direction as usize]
                            && number >= state.stalled_below[direction as usize]
                    })
                    .await
                    .is_ok();
                if !open || to.write_all(&data).await.is_err() {
                    return;
                }
            }
            let _ = to.shutdown().await;
        };
        tokio::join!(read, write);
    }
}

/// Replaces the addresses, and returns the length of a suffix that may be the start of an address.
fn rewrite(buf: &mut [u8], rewrites: &[Rewrite]) -> usize {
    let mut incomplete = 0;
    for (from, to) in rewrites {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        assert_eq!(
            from.len(),
            to.len(),
            "an address and its replacement differ in length"
        );
        let mut at = 0;
        while at + from.len() <= buf.len() {
            if buf[at..].starts_with(from) {
                buf[at..at + to.len()].copy_from_slice(to);
            }
            at += 1;
        }
        let suffix = (1..from.len().min(buf.len() + 1))
            .rev()
            .find(|&len| buf.ends_with(&from[..len]));
        incomplete = incomplete.max(suffix.unwrap_or(0));
    }
    incomplete
}
