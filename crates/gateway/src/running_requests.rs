//! Count of the requests of callers that run.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counts the requests of callers that run.
#[derive(Default)]
pub(crate) struct RunningRequests {
    count: Arc<AtomicU64>,
}

impl RunningRequests {
    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(&self) -> RunningRequestGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        RunningRequestGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of requests that run.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counts one request as running until it is dropped.
pub(crate) struct RunningRequestGuard {
    count: Arc<AtomicU64>,
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
