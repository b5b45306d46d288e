//! Count of the requests in flight, for which a shutdown waits.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use hawthornquay_decisions::{Refusal, RefusalCode};
use tokio::sync::Notify;

/// Counts the requests in flight and refuses new ones during a shutdown.
#[derive(Default)]
pub struct Drain {
    closing: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

impl Drain {
    /// Counts a request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a refusal during a shutdown.
    pub fn enter(self: &Arc<Self>) -> Result<DrainGuard, Refusal> {
        // Refused requests are not counted. Callers that keep sending would otherwise delay the
        // shutdown.
        if self.is_closing() {
            return Err(shutting_down());
        }
        // The request is counted before the second check, so that `wait_idle` waits for each
        // request that passes it.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = DrainGuard {
            drain: Arc::clone(self),
        };
        if self.is_closing() {
            return Err(shutting_down());
        }
        Ok(guard)
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(
        RefusalCode::ShuttingDown,
        "this instance is shutting down; use another instance",
    )
}

/// Counts one request as in flight until it is dropped.
pub struct DrainGuard {
    drain: Arc<Drain>,
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        if self.drain.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.drain.idle.notify_waiters();
        }
    }
}
