//! Waiting for a free backend server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornquay_decisions::{FairQueue, LoadKey, OrganisationId, Priority, QueueEntry, Refusal};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{ActiveBundle, Node, OutboundRequest, clock, route_choice::is_ready};

/// Longest wait for a free backend server.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Interval at which waiting requests are tried without a sign of a free server.
const TICK: Duration = Duration::from_millis(50);

/// Requests per second assumed to leave the queue before any has.
const INITIAL_SERVICE_RATE: f64 = 1.0;

/// Request that waits.
pub struct Waiter {
    /// Request.
    pub req: Arc<OutboundRequest>,
    /// Bundle that it was admitted under.
    pub bundle: Arc<ActiveBundle>,
    /// Servers and domains on which it failed already.
    pub tried: Vec<LoadKey>,
    turn: oneshot::Sender<Result<(), Refusal>>,
}

/// Fair queue of the requests that found every backend server busy.
pub struct RequestQueue {
    queue: Mutex<FairQueue<Waiter>>,
    freed: Notify,
    served: AtomicU64,
}

impl Default for RequestQueue {
    fn default() -> Self {
        Self {
            queue: Mutex::new(FairQueue::new(LONGEST_WAIT)),
            freed: Notify::new(),
            served: AtomicU64::new(0),
        }
    }
}

impl RequestQueue {
    /// Waits for the request's turn to decide again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue is full for the organisation or the wait is too long.
    pub async fn wait(
        &self,
        req: &Arc<OutboundRequest>,
        bundle: &Arc<ActiveBundle>,
        tried: &[LoadKey],
    ) -> Result<(), Refusal> {
        let (tx, rx) = oneshot::channel();
        let item = Waiter {
            req: Arc::clone(req),
            bundle: Arc::clone(bundle),
            tried: tried.to_vec(),
            turn: tx,
        };
        let entry = QueueEntry {
            organisation: req.organisation.id.clone(),
            priority: req.priority,
            cost: req.cost,
            since: req.arrived,
            item,
        };
        let weight = req.organisation.rate.max(1) as f64;
        self.queue
            .lock()
            .push(entry, weight)
            .map_err(|(refusal, _)| refusal)?;
        rx.await.unwrap_or(Ok(()))
    }

    /// Signals that a backend server may be free.
    pub fn signal_free(&self) {
        self.freed.notify_one();
    }

    /// Estimates how long a new request would wait.
    pub fn expected_wait(&self, organisation: &OrganisationId, priority: Priority) -> Duration {
        let rate = f64::from_bits(self.served.load(Ordering::Relaxed)).max(INITIAL_SERVICE_RATE);
        self.queue
            .lock()
            .expected_wait(organisation, priority, rate)
    }

    /// Gives turns for as long as the process runs.
    pub async fn run(&self, node: &Node) {
        let mut second = Instant::now();
        let mut turns = 0.0;
        loop {
            let _ = tokio::time::timeout(TICK, self.freed.notified()).await;
            turns += f64::from(u8::from(self.give_turn(node)));
            let elapsed = second.elapsed();
            if elapsed >= Duration::from_secs(1) {
                self.served
                    .store((turns / elapsed.as_secs_f64()).to_bits(), Ordering::Relaxed);
                (second, turns) = (Instant::now(), 0.0);
            }
        }
    }

    fn give_turn(&self, node: &Node) -> bool {
        let now = clock::now();
        let mut queue = self.queue.lock();
        for (entry, refusal) in queue.expire(now) {
            let _ = entry.item.turn.send(Err(refusal));
        }
        let ready = |entry: &QueueEntry<Waiter>| {
            let Waiter {
                req,
                bundle,
                tried,
                turn,
            } = &entry.item;
            // A caller that left has closed its end; its entry is taken out here.
            turn.is_closed() || is_ready(node, bundle.bundle(), req, tried)
        };
        while let Some(entry) = queue.pop(now, ready) {
            if entry.item.turn.send(Ok(())).is_ok() {
                return true;
            }
        }
        false
    }
}
