//! TCP relay that delays, silences and refuses connections.

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

/// Direction of bytes through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    ToServer,
    ToClient,
}

/// Address in answers and the address that takes its place; both have the same length.
pub type Rewrite = (String, String);

#[derive(Clone, Default)]
struct RelayState {
    target: Option<SocketAddr>,
    rewrites: Arc<Vec<Rewrite>>,
    refusing: bool,
    /// Directions whose bytes are held until they are released.
    silent: [bool; 2],
    /// Connections with a lower number never send another byte in the direction.
    frozen_below: [u64; 2],
    connections: u64,
}

/// Relay to one server.
pub struct DelayRelay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl DelayRelay {
    /// Listens; connections are refused until a target is set.
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

    /// Replaces addresses in what the server sends.
    pub fn set_rewrites(&self, rewrites: Vec<Rewrite>) {
        self.state
            .send_modify(|state| state.rewrites = Arc::new(rewrites));
    }

    /// Closes all connections and refuses new ones, or ends that.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }

    /// Holds all bytes of one direction, or releases them.
    pub fn set_silent(&self, direction: Direction, silent: bool) {
        self.state
            .send_modify(|state| state.silent[direction as usize] = silent);
    }

    /// Loses all later bytes of one direction on the connections that are open; new ones work.
    pub fn freeze_open(&self, direction: Direction) {
        self.state
            .send_modify(|state| state.frozen_below[direction as usize] = state.connections);
    }

    /// Returns the number of connections opened so far.
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
    let pump = |direction, from, to| Pump {
        direction,
        number,
        one_way,
        state: state.clone(),
        from,
        to,
    };
    let up = pump(Direction::ToServer, from_client, to_server);
    let down = pump(Direction::ToClient, from_server, to_client);
    tokio::select! {
        _ = async { tokio::join!(up.run(), down.run()) } => {}
        _ = state.wait_for(|state| state.refusing) => {}
    }
}

struct Pump {
    direction: Direction,
    number: u64,
    one_way: Duration,
    state: watch::Receiver<RelayState>,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
}

impl Pump {
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
                let kept = rewrite(&mut buf, &rewrites);
                let rest = buf.split_off(buf.len() - kept);
                let _ = tx.send((Instant::now() + one_way, std::mem::replace(&mut buf, rest)));
            }
            let _ = tx.send((Instant::now() + one_way, buf));
        };
        let write = async move {
            while let Some((due, data)) = rx.recv().await {
                sleep_until(due).await;
                let open = state
                    .wait_for(|state| {
                        !state.silent[direction as usize]
                            && number >= state.frozen_below[direction as usize]
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

/// Replaces the addresses and returns the length of a tail that may be the start of one.
fn rewrite(buf: &mut [u8], rewrites: &[Rewrite]) -> usize {
    let mut kept = 0;
    for (from, to) in rewrites {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        assert_eq!(from.len(), to.len(), "addresses have the same length");
        let mut at = 0;
        while at + from.len() <= buf.len() {
            if buf[at..].starts_with(from) {
                buf[at..at + to.len()].copy_from_slice(to);
            }
            at += 1;
        }
        let tail = (1..from.len().min(buf.len() + 1))
            .rev()
            .find(|&len| buf.ends_with(&from[..len]));
        kept = kept.max(tail.unwrap_or(0));
    }
    kept
}
