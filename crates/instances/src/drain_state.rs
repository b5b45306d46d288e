//! Progress of the drain of an incoming link.

use std::sync::atomic::{AtomicBool, Ordering};

/// Progress of the drain of an incoming link.
#[derive(Default)]
pub(crate) struct DrainState {
    drained: AtomicBool,
    abandoned: AtomicBool,
}

impl DrainState {
    /// Records that all calls have ended and that no further message is handled.
    pub(crate) fn record_drained(&self) {
        self.drained.store(true, Ordering::Release);
    }

    /// Records that a request has ended without a reply although its sender still waits for one.
    pub(crate) fn record_abandoned(&self) {
        self.abandoned.store(true, Ordering::Release);
    }

    /// Returns whether every request that was accepted has a reply, and no further one is accepted.
    pub(crate) fn is_complete(&self) -> bool {
        self.drained.load(Ordering::Acquire) && !self.abandoned.load(Ordering::Acquire)
    }
}
