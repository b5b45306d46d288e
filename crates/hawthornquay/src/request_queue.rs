//! Waiting for a free backend server.

use std::{sync::atomic::{AtomicU64, Ordering}, time::Duration};

use hawthornquay_decisions::{FairQueue, OrganisationId, Priority, QueueEntry, Refusal};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::clock;

/// Longest wait for a free backend server.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Interval at which a waiting request decides again without a sign of a free server.
const TICK: Duration = Duration::from_millis(50);

/// Requests per second assumed to leave the queue before any has.
const INITIAL_SERVICE_RATE: f64 = 1.0;

type Turn = Result<(), Refusal>;

/// Fair queue of the requests that found every backend server busy.
pub struct RequestQueue {
    queue: Mutex<FairQueue<oneshot::Sender<Turn>>>,
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
    pub async fn wait(&self, waiter: QueueEntry<()>, weight: f64) -> Result<(), Refusal> {
        let (tx, rx) = oneshot::channel();
        let QueueEntry { organisation, priority, cost, since, item: () } = waiter;
        let entry = QueueEntry { organisation, priority, cost, since, item: tx };
        self.queue.lock().push(entry, weight).map_err(|(refusal, _)| refusal)?;
        rx.await.unwrap_or(Ok(()))
    }

    /// Signals that a backend server may be free.
    pub fn signal_free(&self) {
        self.freed.notify_one();
    }

    /// Estimates how long a new request would wait.
    pub fn expected_wait(&self, organisation: &OrganisationId, priority: Priority) -> Duration {
        let rate = f64::from_bits(self.served.load(Ordering::Relaxed)).max(INITIAL_SERVICE_RATE);
        self.queue.lock().expected_wait(organisation, priority, rate)
    }

    /// Gives turns for as long as the process runs.
    pub async fn run(&self) {
        let mut second = tokio::time::Instant::now();
        let mut turns = 0.0;
        loop {
            let _ = tokio::time::timeout(TICK, self.freed.notified()).await;
            turns += f64::from(u8::from(self.give_turn()));
            let elapsed = second.elapsed();
            if elapsed >= Duration::from_secs(1) {
                self.served.store((turns / elapsed.as_secs_f64()).to_bits(), Ordering::Relaxed);
                (second, turns) = (tokio::time::Instant::now(), 0.0);
            }
        }
    }

    fn give_turn(&self) -> bool {
        let now = clock::now();
        let mut queue = self.queue.lock();
        for (entry, refusal) in queue.expire(now) {
            let _ = entry.item.send(Err(refusal));
        }
        // A caller that left has closed its end, and the turn goes to the next.
        while let Some(entry) = queue.pop(now) {
            if entry.item.send(Ok(())).is_ok() {
                return true;
            }
        }
        false
    }
}
