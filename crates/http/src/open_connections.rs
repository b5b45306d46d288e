//! Open connections of a server, of which some are ended while memory or connections run short.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    EndReason, MemoryBudget, ServerLimits,
    connection_progress::{Awaited, Progress, SharedProgress},
};

/// Interval of the checks whether memory or connections run short.
const CALM_INTERVAL: Duration = Duration::from_millis(250);

/// Interval while they do.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(50);

/// Part of a stall time-out that applies once all connections are in use or an eighth of the memory
/// is left: clients that wait to be accepted would not be served in time otherwise.
const EXHAUSTED_PART: u32 = 5;

/// Length of the preface of HTTP/2. Until it or a byte that differs has arrived, hyper-util waits
/// without a time-out.
const HTTP2_PREFACE_LEN: u64 = 24;

/// Time by which the check of connections without a request follows the header time-out.
const FIRST_HEAD_DELAY: Duration = Duration::from_secs(1);

/// Open connections of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenConnections(Arc<Mutex<Connections>>);

#[derive(Debug, Default)]
struct Connections {
    next_key: u64,
    by_key: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    progress: SharedProgress,
    end: CancellationToken,
}

/// Connection that is listed until this is dropped.
#[derive(Debug)]
pub(crate) struct ListedConnection {
    connections: OpenConnections,
    key: u64,
    /// Cancelled when the connection has to end.
    pub(crate) end: CancellationToken,
}

impl Drop for ListedConnection {
    fn drop(&mut self) {
        self.connections.0.lock().by_key.remove(&self.key);
    }
}

/// What runs short.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// Bytes beyond the part of the memory budget that connections may use in calm conditions.
    memory: usize,
    /// Connections beyond that part of their limit.
    connections: usize,
    is_exhausted: bool,
}

impl Shortage {
    fn measure(memory: &MemoryBudget, permits: &Semaphore, max_connections: usize) -> Self {
        let free = permits.available_permits();
        let open = max_connections.saturating_sub(free);
        Self {
            memory: memory.excess(),
            // From three quarters on, down to a half: fewer rounds serve a long accept queue.
            connections: if open > max_connections / 4 * 3 {
                open - max_connections / 2
            } else {
                0
            },
            is_exhausted: free == 0 || memory.used() >= memory.limit() / 8 * 7,
        }
    }

    const fn is_none(self) -> bool {
        self.memory == 0 && self.connections == 0
    }
}

/// Connection that waits for its client.
struct Candidate {
    key: u64,
    awaited: Awaited,
    stall: Duration,
    held: usize,
}

impl OpenConnections {
    /// Lists a connection.
    pub(crate) fn add(&self, progress: &SharedProgress) -> ListedConnection {
        let end = CancellationToken::new();
        let mut connections = self.0.lock();
        let key = connections.next_key;
        connections.next_key += 1;
        let entry = Entry {
            progress: Arc::clone(progress),
            end: end.clone(),
        };
        connections.by_key.insert(key, entry);
        drop(connections);
        ListedConnection {
            connections: self.clone(),
            key,
            end,
        }
    }

    /// Ends connections for as long as the server runs: those without a first request after the
    /// header time-out, and those that hold the most without progress while resources run short.
    pub(crate) async fn run(
        self,
        limits: watch::Receiver<ServerLimits>,
        memory: MemoryBudget,
        permits: Arc<Semaphore>,
        max_connections: usize,
    ) {
        let mut heads_checked = Instant::now();
        loop {
            let shortage = Shortage::measure(&memory, &permits, max_connections);
            let limits = *limits.borrow();
            if !shortage.is_none() {
                self.end_stalled(shortage, &limits);
            }
            if heads_checked.elapsed() >= FIRST_HEAD_DELAY {
                heads_checked = Instant::now();
                self.end_without_request(limits.header_timeout + FIRST_HEAD_DELAY);
            }
            tokio::time::sleep(if shortage.is_none() {
                CALM_INTERVAL
            } else {
                PRESSURE_INTERVAL
            })
            .await;
        }
    }

    fn end_stalled(&self, shortage: Shortage, limits: &ServerLimits) {
        let connections = self.0.lock();
        let part = if shortage.is_exhausted {
            EXHAUSTED_PART
        } else {
            1
        };
        let mut candidates: Vec<Candidate> = connections
            .by_key
            .iter()
            .filter_map(|(key, entry)| Candidate::new(*key, &entry.progress.lock(), limits, part))
            .collect();
        let mut ended = 0;
        let mut released = 0;
        // The connections that have held the most for the longest.
        candidates.sort_unstable_by_key(|candidate| {
            Reverse(candidate.held as u128 * candidate.stall.as_millis())
        });
        candidates.retain(|candidate| {
            if released >= shortage.memory {
                return true;
            }
            released += candidate.held;
            ended += 1;
            connections.end(candidate.key, EndReason::Pressure);
            false
        });
        // A connection whose response is unread has cost the most work.
        candidates.sort_unstable_by_key(|candidate| {
            (
                candidate.awaited == Awaited::Reading,
                Reverse(candidate.stall),
            )
        });
        for candidate in candidates
            .iter()
            .take(shortage.connections.saturating_sub(ended))
        {
            connections.end(candidate.key, EndReason::Pressure);
        }
    }

    fn end_without_request(&self, timeout: Duration) {
        let connections = self.0.lock();
        for (key, entry) in &connections.by_key {
            let progress = entry.progress.lock();
            let (is_waiting, has_bytes) = (
                progress.requests == 0
                    && progress.bytes_read < HTTP2_PREFACE_LEN
                    && progress.accepted.elapsed() >= timeout,
                progress.bytes_read > 0,
            );
            drop(progress);
            if is_waiting {
                let reason = if has_bytes {
                    EndReason::HeadTimeout
                } else {
                    EndReason::IdleTimeout
                };
                connections.end(*key, reason);
            }
        }
    }
}

impl Connections {
    fn end(&self, key: u64, reason: EndReason) {
        if let Some(entry) = self.by_key.get(&key) {
            entry.progress.lock().ended_for = Some(reason);
            entry.end.cancel();
        }
    }
}

impl Candidate {
    /// Returns the connection if it waits for its client beyond the time-out divided by `part`.
    fn new(key: u64, progress: &Progress, limits: &ServerLimits, part: u32) -> Option<Self> {
        let awaited = progress.awaited();
        let timeout = match awaited {
            Awaited::Server => return None,
            Awaited::Nothing | Awaited::Request => limits.request_stall_timeout,
            Awaited::Reading => limits.response_stall_timeout,
        };
        let stall = progress.last_progress.elapsed();
        let is_stalled = progress.ended_for.is_none() && stall >= timeout / part;
        is_stalled.then(|| Self {
            key,
            awaited,
            stall,
            held: progress.held_bytes(),
        })
    }
}
