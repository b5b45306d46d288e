//! Token bucket.

use crate::{LimitShare, MonotonicTime, limit_refunds::LimitRefunds};

/// Token bucket in integers, with refunds that never bring back overflowed capacity.
///
/// Amounts are in nanotokens.
#[derive(Clone, Debug)]
pub struct LimitBucket {
    share: LimitShare,
    level: u64,
    at: MonotonicTime,
    refunds: LimitRefunds,
}

impl LimitBucket {
    /// Builds a bucket that holds `level` nanotokens, or its capacity if that is lower.
    pub fn new(share: LimitShare, level: u64, now: MonotonicTime) -> Self {
        Self {
            share,
            level: level.min(share.capacity),
            at: now,
            refunds: LimitRefunds::default(),
        }
    }

    /// Returns the level in nanotokens at the last advance.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the rate and the capacity.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Returns the free capacity in nanotokens at the last advance.
    pub fn headroom(&self) -> u64 {
        self.share.capacity - self.level
    }

    /// Adds what accrued until `now`.
    pub fn advance(&mut self, now: MonotonicTime) {
        if now <= self.at {
            return;
        }
        let accrued = u128::from(self.share.rate) * u128::from(now.0 - self.at.0);
        self.at = now;
        let accrued = u64::try_from(accrued).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(accrued).min(self.share.capacity);
        self.refunds.observe(self.headroom());
    }

    /// Takes `amount` nanotokens and returns the number of the reservation.
    pub fn reserve(&mut self, amount: u64) -> Option<u64> {
        self.level = self.level.checked_sub(amount)?;
        Some(self.refunds.open(self.headroom()))
    }

    /// Closes a reservation and puts back up to `unused` nanotokens; returns the refund.
    pub fn settle(&mut self, number: u64, unused: u64) -> u64 {
        let refund = self.refunds.close(number, unused);
        self.level += refund;
        refund
    }

    /// Removes up to `amount` nanotokens for good and returns how much was there.
    pub fn withdraw(&mut self, amount: u64) -> u64 {
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Adds up to `amount` nanotokens that were withdrawn from another bucket.
    pub fn deposit(&mut self, amount: u64) {
        self.level = self.level.saturating_add(amount).min(self.share.capacity);
        self.refunds.observe(self.headroom());
    }

    /// Changes rate and capacity; a level above the new capacity is lost.
    pub fn set_share(&mut self, share: LimitShare) {
        self.share = share;
        self.level = self.level.min(share.capacity);
        self.refunds.observe(self.headroom());
    }
}
