//! Waiting for a free backend server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hawthornquay_decisions::{
    FairQueue, LoadKey, Map, MonotonicTime, QueueEntry, Refusal, RouteTarget,
};
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

/// Interval over which the rate of turns is measured.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

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

/// Fair queues of the requests that found every backend server busy, one for each target.
///
/// The targets have servers of their own, so that a busy one does not hold up the others.
#[derive(Default)]
pub struct RequestQueue {
    targets: Mutex<Map<RouteTarget, TargetQueue>>,
    waiting: AtomicUsize,
    freed: Notify,
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct TargetQueue {
    queue: FairQueue<Waiter>,
    turns: f64,
    turns_per_second: f64,
}

impl Default for TargetQueue {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(LONGEST_WAIT),
            turns: 0.0,
            turns_per_second: INITIAL_SERVICE_RATE,
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
            waiting_since: req.arrived,
            item,
        };
        let weight = req.organisation.rate.max(1) as f64;
        {
            let mut targets = self.targets.lock();
            let target = targets.entry(req.target.clone()).or_default();
            target
                .queue
                .push(entry, weight)
                .map_err(|(refusal, _)| refusal)?;
        }
        let _waiting = Waiting::new(&self.waiting);
        rx.await.unwrap_or(Ok(()))
    }

    /// Signals that a request was sent, so that the next one can be decided with it counted.
    ///
    /// Each wake gives one turn, because the request that got it counts as load only once it is
    /// sent. Without this signal a queue would drain by one request for each answer that ends, and
    /// stay for as long as requests come although servers are free.
    pub fn signal_sent(&self) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.freed.notify_one();
        }
    }

    /// Signals that a backend server may be free.
    pub fn signal_free(&self) {
        self.freed.notify_one();
    }

    /// Estimates how long a new request would wait.
    pub fn expected_wait(&self, req: &OutboundRequest) -> Duration {
        let targets = self.targets.lock();
        targets.get(&req.target).map_or(Duration::ZERO, |target| {
            let rate = target.turns_per_second;
            target
                .queue
                .expected_wait(&req.organisation.id, req.priority, rate)
        })
    }

    /// Gives turns for as long as the process runs.
    pub async fn run(&self, node: &Node) {
        let mut second = Instant::now();
        loop {
            let _ = tokio::time::timeout(TICK, self.freed.notified()).await;
            let now = clock::now();
            let mut targets = self.targets.lock();
            for target in targets.values_mut() {
                target.give_turn(node, now);
            }
            let elapsed = second.elapsed();
            if elapsed >= RATE_INTERVAL {
                targets.retain(|_, target| target.queue.waiting() > 0);
                targets
                    .values_mut()
                    .for_each(|target| target.measure(elapsed));
                second = Instant::now();
            }
        }
    }
}

impl TargetQueue {
    fn give_turn(&mut self, node: &Node, now: MonotonicTime) {
        for (entry, refusal) in self.queue.expire(now) {
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
        while let Some(entry) = self.queue.pop(now, ready) {
            if entry.item.turn.send(Ok(())).is_ok() {
                self.turns += 1.0;
                return;
            }
        }
    }

    fn measure(&mut self, elapsed: Duration) {
        self.turns_per_second = (self.turns / elapsed.as_secs_f64()).max(INITIAL_SERVICE_RATE);
        self.turns = 0.0;
    }
}
