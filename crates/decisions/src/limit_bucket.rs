//! Token bucket.

use crate::{LimitShare, MonotonicTime, limit_refunds::LimitRefunds};

/// Token bucket in integer arithmetic, with reservations that can be refunded.
///
/// Amounts are in nanotokens. A refund never returns more than the bucket could have kept if the
/// tokens had not been reserved; tokens that would have overflowed in the meantime are lost.
#[derive(Clone, Debug)]
pub struct LimitBucket {
    share: LimitShare,
    level: u64,
    updated_at: MonotonicTime,
    refunds: LimitRefunds,
}

impl LimitBucket {
    /// Creates a bucket that holds `level` nanotokens, or its capacity if that is lower.
    pub fn new(share: LimitShare, level: u64, now: MonotonicTime) -> Self {
        Self {
            share,
            level: level.min(share.capacity),
            updated_at: now,
            refunds: LimitRefunds::default(),
        }
    }

    /// Returns the level in nanotokens as of the last [`Self::advance`].
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the rate and capacity of the bucket.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Returns the free capacity in nanotokens as of the last [`Self::advance`].
    pub fn headroom(&self) -> u64 {
        self.share.capacity - self.level
    }

    /// Adds the tokens that accrued up to `now`; a time before the last advance has no effect.
    pub fn advance(&mut self, now: MonotonicTime) {
        if now <= self.updated_at {
            return;
        }
        let accrued = u128::from(self.share.rate) * u128::from(now.0 - self.updated_at.0);
        self.updated_at = now;
        let accrued = u64::try_from(accrued).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(accrued).min(self.share.capacity);
        self.refunds.observe(self.headroom());
    }

    /// Takes `amount` nanotokens and returns the number of the reservation, or `None` if the level
    /// is too low.
    pub fn reserve(&mut self, amount: u64) -> Option<u64> {
        self.level = self.level.checked_sub(amount)?;
        Some(self.refunds.open(self.headroom()))
    }

    /// Closes a reservation and refunds up to `unused` nanotokens; returns the nanotokens refunded.
    pub fn settle(&mut self, number: u64, unused: u64) -> u64 {
        let refund = self.refunds.close(number, unused);
        self.level += refund;
        refund
    }

    /// Removes up to `amount` nanotokens without a reservation; returns the nanotokens removed.
    pub fn withdraw(&mut self, amount: u64) -> u64 {
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Adds `amount` nanotokens that were withdrawn from another bucket, up to the capacity.
    pub fn deposit(&mut self, amount: u64) {
        self.level = self.level.saturating_add(amount).min(self.share.capacity);
        self.refunds.observe(self.headroom());
    }

    /// Changes rate and capacity; tokens above the new capacity are lost.
    pub fn set_share(&mut self, share: LimitShare) {
        self.share = share;
        self.level = self.level.min(share.capacity);
        self.refunds.observe(self.headroom());
    }
}
