//! Count of the requests of callers that run.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use hawthornquay_http::{MemoryBudget, MemoryCharge};

/// Bytes for a request that runs, beside its head and body: its state and the buffers of its
/// connection to a backend server. Measured on 1,600 requests in a debug build: 54 KiB, about 20 of
/// them for its stream over HTTP/2.
const REQUEST_BYTES: usize = 32 << 10;

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
            charge: None,
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
    charge: Option<MemoryCharge>,
}

impl RunningRequestGuard {
    /// Charges the request to `memory`; returns whether it may run beside at most `max_running`
    /// others.
    ///
    /// Over HTTP/2, a connection runs many requests, of which each needs a descriptor for its backend
    /// server.
    pub(crate) fn try_run(&mut self, memory: &MemoryBudget, max_running: usize) -> bool {
        self.charge = memory.try_charge(REQUEST_BYTES);
        let running = self.count.load(Ordering::Relaxed);
        self.charge.is_some() && usize::try_from(running).is_ok_and(|count| count <= max_running)
    }
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
