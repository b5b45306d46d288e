//! Lease that an instance must hold to send orders to engines.

use std::time::Duration;

use crate::MonotonicTime;

/// Longest assumed pause of a process between its check of the lease and the send of an order. A
/// former holder may send such an order after its lease has expired.
const MAX_HOLDER_PAUSE: Duration = Duration::from_secs(10);
/// Divisor that gives the part at the end of the lease in which no order is sent, so that an order
/// is sent well before the lease expires.
const UNUSED_LEASE_DIVISOR: u32 = 5;

/// Lease in the store that makes its holder the only instance that sends orders (the orderer).
///
/// The holder counts the lease from the time at which it requested the renewal, so that the lease
/// expires at the holder before it expires in the store. The monotonic clock includes time during
/// which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLease {
    fence: u64,
    ttl: Duration,
    confirmed_at: MonotonicTime,
    renewed_at: MonotonicTime,
}

impl OrderLease {
    /// Returns a lease with the fencing number `fence`, which is that of the revision of its key in the
    /// store.
    ///
    /// `requested_at` is when the lease was requested and `confirmed_at` when the store answered.
    pub fn new(
        fence: u64,
        ttl: Duration,
        requested_at: MonotonicTime,
        confirmed_at: MonotonicTime,
    ) -> Self {
        Self {
            fence,
            ttl,
            confirmed_at,
            renewed_at: requested_at,
        }
    }

    /// Records a confirmed renewal that was requested at `requested_at`.
    ///
    /// A renewal requested after the lease expired at the holder does not revive it, because
    /// another instance may have held the lease in between.
    pub fn record_renewal(&mut self, requested_at: MonotonicTime) {
        if self.is_held(requested_at) {
            self.renewed_at = self.renewed_at.max(requested_at);
        }
    }

    /// Returns the fencing number, which engines compare to reject orders of former holders.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the holder may send orders; to be checked again after each wait.
    pub fn is_held(&self, now: MonotonicTime) -> bool {
        now < self.renewed_at + (self.ttl - self.ttl / UNUSED_LEASE_DIVISOR)
    }

    /// Returns the time from which orders may be sent to engines that ignore fencing numbers.
    ///
    /// By then the lease of a former holder and the longest pause have passed, so no former holder
    /// can still send orders.
    pub fn unfenced_orders_allowed_at(&self) -> MonotonicTime {
        self.confirmed_at + self.ttl + MAX_HOLDER_PAUSE
    }
}
