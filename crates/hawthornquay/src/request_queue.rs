//! Queues of requests that wait for a free backend server.

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

use crate::{ActiveBundle, Node, OutboundRequest, clock, route_choice::can_be_routed};

/// Longest time for which a request waits for a free backend server.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Interval at which queued requests are checked without a signal.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval over which the rate at which requests leave a queue is measured.
const RATE_MEASUREMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Lowest rate, in requests per second, at which a queue is assumed to drain; also the initial
/// rate.
const MIN_WAKES_PER_SECOND: f64 = 1.0;

/// Queued request.
pub struct QueuedRequest {
    /// Request that waits.
    pub req: Arc<OutboundRequest>,
    /// Bundle under which it was admitted.
    pub bundle: Arc<ActiveBundle>,
    /// Backend servers and failure domains on which attempts have failed.
    pub tried: Vec<LoadKey>,
    /// Ends the wait: with success to route the request again, or with a refusal.
    wake_tx: oneshot::Sender<Result<(), Refusal>>,
}

/// Fair queues of requests that wait for a free backend server, one for each target.
///
/// Targets may have different servers. With separate queues, requests for a busy target do not
/// block those for others.
#[derive(Default)]
pub struct RequestQueue {
    targets: Mutex<Map<RouteTarget, TargetQueue>>,
    waiting: AtomicUsize,
    recheck: Notify,
}

/// Counts a request as waiting until it is dropped.
struct WaitingCount<'a>(&'a AtomicUsize);

impl<'a> WaitingCount<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Queue of one target, with the rate at which its requests are woken.
struct TargetQueue {
    queue: FairQueue<QueuedRequest>,
    /// Number of requests woken in the present measurement interval.
    wakes: f64,
    /// Rate measured over the last interval.
    wakes_per_second: f64,
}

impl Default for TargetQueue {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(MAX_WAIT),
            wakes: 0.0,
            wakes_per_second: MIN_WAKES_PER_SECOND,
        }
    }
}

impl RequestQueue {
    /// Waits until the request should be routed again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation's queue is full or the wait exceeds its bound.
    pub async fn wait(
        &self,
        req: &Arc<OutboundRequest>,
        bundle: &Arc<ActiveBundle>,
        tried: &[LoadKey],
    ) -> Result<(), Refusal> {
        let (tx, rx) = oneshot::channel();
        let item = QueuedRequest {
            req: Arc::clone(req),
            bundle: Arc::clone(bundle),
            tried: tried.to_vec(),
            wake_tx: tx,
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
        let _waiting = WaitingCount::new(&self.waiting);
        rx.await.unwrap_or(Ok(()))
    }

    /// Signals that a request was sent and is now counted as load, so that the next one can be
    /// woken.
    ///
    /// Each check wakes at most one request per target, because that request counts as load only
    /// after it has been sent. Without this signal, a queue would drain by only one request for
    /// each answer that ends. It would then not empty while new requests arrive, although servers
    /// are free.
    pub fn signal_request_sent(&self) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.recheck.notify_one();
        }
    }

    /// Signals that a backend server may be free.
    pub fn signal_server_free(&self) {
        self.recheck.notify_one();
    }

    /// Returns the number of waiting requests of each target that has any.
    pub fn waiting_by_target(&self) -> Map<RouteTarget, usize> {
        let targets = self.targets.lock();
        let waiting = targets
            .iter()
            .map(|(target, queue)| (target.clone(), queue.queue.waiting()));
        waiting.filter(|(_, waiting)| *waiting > 0).collect()
    }

    /// Estimates how long a new request would wait.
    pub fn expected_wait(&self, req: &OutboundRequest) -> Duration {
        let targets = self.targets.lock();
        targets.get(&req.target).map_or(Duration::ZERO, |target| {
            let rate = target.wakes_per_second;
            target
                .queue
                .expected_wait(&req.organisation.id, req.priority, rate)
        })
    }

    /// Wakes queued requests, for as long as the process runs.
    pub async fn run(&self, node: &Node) {
        let mut measured_since = Instant::now();
        loop {
            let _ = tokio::time::timeout(RECHECK_INTERVAL, self.recheck.notified()).await;
            let now = clock::now();
            let mut targets = self.targets.lock();
            for target in targets.values_mut() {
                target.wake_next(node, now);
            }
            let elapsed = measured_since.elapsed();
            if elapsed >= RATE_MEASUREMENT_INTERVAL {
                targets.retain(|_, target| target.queue.waiting() > 0);
                targets
                    .values_mut()
                    .for_each(|target| target.update_rate(elapsed));
                measured_since = Instant::now();
            }
        }
    }
}

impl TargetQueue {
    fn wake_next(&mut self, node: &Node, now: MonotonicTime) {
        for (entry, refusal) in self.queue.expire(now) {
            let _ = entry.item.wake_tx.send(Err(refusal));
        }
        let ready = |entry: &QueueEntry<QueuedRequest>| {
            let QueuedRequest {
                req,
                bundle,
                tried,
                wake_tx,
            } = &entry.item;
            // After a disconnect of the caller, the receiver is closed and the entry is removed
            // here.
            wake_tx.is_closed() || can_be_routed(node, bundle.bundle(), req, tried)
        };
        while let Some(entry) = self.queue.pop(now, ready) {
            if entry.item.wake_tx.send(Ok(())).is_ok() {
                self.wakes += 1.0;
                return;
            }
        }
    }

    fn update_rate(&mut self, elapsed: Duration) {
        self.wakes_per_second = (self.wakes / elapsed.as_secs_f64()).max(MIN_WAKES_PER_SECOND);
        self.wakes = 0.0;
    }
}
