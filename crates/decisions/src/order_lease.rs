//! Lease of the orderer.

use std::time::Duration;

use crate::MonotonicTime;

/// Longest pause after which a former holder could still send an order that it had checked.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Part of the lease kept free, so that a checked order leaves well before the lease ends.
const MARGIN_SHARE: u32 = 5;

/// Store lease that makes its holder the only orderer.
///
/// The holder counts the lease from when it sent the renewal, so it ends here before it ends in
/// the store. Clocks count suspended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLease {
    fence: u64,
    ttl: Duration,
    taken_at: MonotonicTime,
    renewed_at: MonotonicTime,
}

impl OrderLease {
    /// Takes a lease whose key has revision `fence`; `confirmed_at` is when the store answered and
    /// `asked_at` when it was asked.
    pub fn new(
        fence: u64,
        ttl: Duration,
        asked_at: MonotonicTime,
        confirmed_at: MonotonicTime,
    ) -> Self {
        Self {
            fence,
            ttl,
            taken_at: confirmed_at,
            renewed_at: asked_at,
        }
    }

    /// Records a confirmed renewal that was asked for at `asked_at`.
    ///
    /// A renewal asked for after the lease had ended here does not revive it, because another
    /// instance may have held it in between.
    pub fn record_renewal(&mut self, asked_at: MonotonicTime) {
        if self.is_held(asked_at) {
            self.renewed_at = self.renewed_at.max(asked_at);
        }
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the holder may act; it asks again after each wait.
    pub fn is_held(&self, now: MonotonicTime) -> bool {
        now < self.renewed_at + (self.ttl - self.ttl / MARGIN_SHARE)
    }

    /// Returns when engines that ignore fencing numbers may get orders.
    ///
    /// The old lease and the longest pause have passed by then, so no former holder still acts.
    pub fn unfenced_orders_allowed_at(&self) -> MonotonicTime {
        self.taken_at + self.ttl + LONGEST_PAUSE
    }
}
