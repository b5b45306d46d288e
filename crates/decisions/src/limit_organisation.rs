//! Limit state of one organisation at one instance.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    InstanceId, LimitBucket, LimitShare, LoanTerms, MonotonicTime, SlotIndex,
    limit_demand::LimitDemand,
    limit_reservation::{BucketSource, ReservationPart},
    limit_slice::LimitSlice,
};

/// Loan as recorded by the borrower.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLoan {
    pub(crate) bucket: LimitBucket,
    pub(crate) bucket_number: u64,
    pub(crate) end: MonotonicTime,
}

/// Latest loan request to one lender.
#[derive(Clone, Debug)]
pub(crate) struct LoanAttempt {
    pub(crate) sequence: u64,
    pub(crate) sent_at: MonotonicTime,
    /// Nanotokens requested.
    pub(crate) amount: u64,
    /// Time at which a loan granted for this request ends.
    pub(crate) end: MonotonicTime,
    pub(crate) answered: bool,
    /// Shortest time between this request and the next one to the same lender.
    pub(crate) retry_delay: Duration,
}

/// Slice, loans and demand of one organisation at one instance.
#[derive(Clone, Debug)]
pub(crate) struct LimitOrganisation {
    pub(crate) slot: SlotIndex,
    /// Shares of this instance's failure domain, each with the bundle version that introduced it,
    /// lowest version first.
    pub(crate) share_history: Vec<(u64, LimitShare)>,
    /// Rate and burst over the whole fleet.
    pub(crate) fleet_limit: LimitShare,
    /// Owned share, while this instance holds the slot.
    pub(crate) slice: Option<LimitSlice>,
    /// Loans by lender.
    pub(crate) loans: BTreeMap<InstanceId, BorrowedLoan>,
    pub(crate) attempts: BTreeMap<InstanceId, LoanAttempt>,
    pub(crate) demand: LimitDemand,
}

impl LimitOrganisation {
    /// Creates the state of an organisation without a slice or loans.
    pub(crate) fn new(slot: SlotIndex) -> Self {
        Self {
            slot,
            share_history: Vec::new(),
            fleet_limit: LimitShare::default(),
            slice: None,
            loans: BTreeMap::new(),
            attempts: BTreeMap::new(),
            demand: LimitDemand::default(),
        }
    }

    /// Records the share of a new bundle version.
    pub(crate) fn record_share(&mut self, version: u64, share: LimitShare) {
        match self.share_history.last_mut() {
            Some((since, last)) if *since == version => *last = share,
            Some((_, last)) if *last == share => {}
            _ => self.share_history.push((version, share)),
        }
    }

    /// Removes the shares that apply only to versions before `version`.
    pub(crate) fn prune_shares_before(&mut self, version: u64) {
        let kept = self
            .share_history
            .partition_point(|(since, _)| *since <= version);
        self.share_history.drain(..kept.saturating_sub(1));
    }

    /// Returns the minimum of the shares of all versions from `lowest` on.
    ///
    /// Returns `None` if the share of the version `lowest` is not recorded.
    pub(crate) fn min_share_since(&self, lowest: u64) -> Option<LimitShare> {
        let from = self
            .share_history
            .partition_point(|(since, _)| *since <= lowest)
            .checked_sub(1)?;
        self.share_history[from..]
            .iter()
            .map(|(_, share)| *share)
            .reduce(LimitShare::component_min)
    }

    /// Returns whether the share changed after the version `since`.
    pub(crate) fn changed_after(&self, since: u64) -> bool {
        self.share_history
            .last()
            .is_some_and(|(last, _)| *last > since)
    }

    /// Adds the tokens that accrued up to `now`, and removes the loans that ended.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        if let Some(slice) = &mut self.slice {
            slice.advance(now);
        }
        self.loans.retain(|_, loan| now < loan.end);
        for loan in self.loans.values_mut() {
            loan.bucket.advance(now);
        }
    }

    /// Returns the nanotokens that can be spent as of the last [`Self::advance`].
    pub(crate) fn available_nanotokens(&self) -> u64 {
        let own = self.slice.as_ref().map_or(0, |slice| slice.bucket.level());
        self.loans
            .values()
            .fold(own, |sum, loan| sum.saturating_add(loan.bucket.level()))
    }

    /// Returns the rate and capacity of the slice's bucket and the loans together.
    pub(crate) fn held_share(&self) -> LimitShare {
        let own = self
            .slice
            .as_ref()
            .map_or_else(LimitShare::default, |slice| slice.bucket.share());
        self.loans
            .values()
            .fold(own, |sum, loan| sum.saturating_add(loan.bucket.share()))
    }

    /// Reserves `amount` nanotokens, from the loans that end first and from the slice last.
    ///
    /// Returns `None` if the slice and the loans hold less.
    pub(crate) fn reserve(&mut self, amount: u64) -> Option<Vec<ReservationPart>> {
        if self.available_nanotokens() < amount {
            return None;
        }
        let mut remaining = amount;
        let mut parts = Vec::new();
        let mut order: Vec<(MonotonicTime, InstanceId)> = self
            .loans
            .iter()
            .map(|(lender, loan)| (loan.end, lender.clone()))
            .collect();
        order.sort();
        for (_, lender) in order {
            let Some(loan) = self.loans.get_mut(&lender) else {
                continue;
            };
            let source = BucketSource::Loan(lender);
            reserve_from(
                &mut loan.bucket,
                loan.bucket_number,
                source,
                &mut remaining,
                &mut parts,
            );
        }
        if let Some(slice) = &mut self.slice {
            let source = BucketSource::Slice;
            reserve_from(
                &mut slice.bucket,
                slice.bucket_number,
                source,
                &mut remaining,
                &mut parts,
            );
        }
        Some(parts)
    }

    /// Returns the bucket that a part of a reservation was taken from, if it still exists.
    pub(crate) fn bucket_of(&mut self, part: &ReservationPart) -> Option<&mut LimitBucket> {
        let (bucket, number) = match &part.source {
            BucketSource::Slice => {
                let slice = self.slice.as_mut()?;
                (&mut slice.bucket, slice.bucket_number)
            }
            BucketSource::Loan(lender) => {
                let loan = self.loans.get_mut(lender)?;
                (&mut loan.bucket, loan.bucket_number)
            }
        };
        (number == part.bucket_number).then_some(bucket)
    }

    /// Returns whether an answer to a request to `lender` is outstanding and not timed out.
    pub(crate) fn has_pending_request(&self, lender: &InstanceId, now: MonotonicTime) -> bool {
        self.attempts.get(lender).is_some_and(|attempt| {
            !attempt.answered && now < attempt.sent_at + LoanTerms::ANSWER_TIMEOUT
        })
    }

    /// Returns whether the retry delay after the latest request to `lender` has not yet passed.
    pub(crate) fn in_retry_delay(&self, lender: &InstanceId, now: MonotonicTime) -> bool {
        self.attempts
            .get(lender)
            .is_some_and(|attempt| now < attempt.sent_at + attempt.retry_delay)
    }
}

/// Reserves up to `remaining` nanotokens from one bucket and adds the part to `parts`.
fn reserve_from(
    bucket: &mut LimitBucket,
    number: u64,
    source: BucketSource,
    remaining: &mut u64,
    parts: &mut Vec<ReservationPart>,
) {
    let amount = bucket.level().min(*remaining);
    if amount == 0 {
        return;
    }
    if let Some(reservation) = bucket.reserve(amount) {
        *remaining -= amount;
        parts.push(ReservationPart {
            source,
            bucket_number: number,
            reservation,
            amount,
        });
    }
}
