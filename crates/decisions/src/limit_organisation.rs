//! Limit state of one organisation at one instance.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    InstanceId, LimitBucket, LimitShare, LoanTerms, MonotonicTime, SlotIndex,
    limit_demand::LimitDemand,
    limit_reservation::{LimitPart, LimitSource},
    limit_slice::LimitSlice,
};

/// Loan as its borrower records it.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLoan {
    pub(crate) bucket: LimitBucket,
    pub(crate) number: u64,
    pub(crate) end: MonotonicTime,
}

/// Latest request to one lender.
#[derive(Clone, Debug)]
pub(crate) struct LoanAttempt {
    pub(crate) sequence: u64,
    pub(crate) sent: MonotonicTime,
    pub(crate) amount: u64,
    pub(crate) end: MonotonicTime,
    pub(crate) answered: bool,
    pub(crate) retry: Duration,
}

/// Shares of an organisation, slice, loans and demand.
#[derive(Clone, Debug)]
pub(crate) struct LimitOrganisation {
    pub(crate) slot: SlotIndex,
    /// Share of the own domain by the bundle version that introduced it, lowest version first.
    pub(crate) history: Vec<(u64, LimitShare)>,
    pub(crate) whole: LimitShare,
    pub(crate) slice: Option<LimitSlice>,
    pub(crate) loans: BTreeMap<InstanceId, BorrowedLoan>,
    pub(crate) attempts: BTreeMap<InstanceId, LoanAttempt>,
    pub(crate) demand: LimitDemand,
}

impl LimitOrganisation {
    /// Builds the state of an organisation without slice and loans.
    pub(crate) fn new(slot: SlotIndex) -> Self {
        Self {
            slot,
            history: Vec::new(),
            whole: LimitShare::default(),
            slice: None,
            loans: BTreeMap::new(),
            attempts: BTreeMap::new(),
            demand: LimitDemand::default(),
        }
    }

    /// Adds the share of a new bundle version.
    pub(crate) fn push_share(&mut self, version: u64, share: LimitShare) {
        match self.history.last_mut() {
            Some((since, last)) if *since == version => *last = share,
            Some((_, last)) if *last == share => {}
            _ => self.history.push((version, share)),
        }
    }

    /// Forgets the shares that were replaced before `version`.
    pub(crate) fn forget_before(&mut self, version: u64) {
        let kept = self.history.partition_point(|(since, _)| *since <= version);
        self.history.drain(..kept.saturating_sub(1));
    }

    /// Returns the lowest share in force at any version from `lowest` on, if all are known.
    pub(crate) fn lowest_since(&self, lowest: u64) -> Option<LimitShare> {
        let from = self
            .history
            .partition_point(|(since, _)| *since <= lowest)
            .checked_sub(1)?;
        self.history[from..]
            .iter()
            .map(|(_, share)| *share)
            .reduce(LimitShare::component_min)
    }

    /// Returns whether the share differs between version `since` and the current one.
    pub(crate) fn changed_since(&self, since: u64) -> bool {
        self.history.last().is_some_and(|(last, _)| *last > since)
    }

    /// Adds what accrued until `now` and drops the loans that ended.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        if let Some(slice) = &mut self.slice {
            slice.advance(now);
        }
        self.loans.retain(|_, loan| now < loan.end);
        for loan in self.loans.values_mut() {
            loan.bucket.advance(now);
        }
    }

    /// Returns the nanotokens that can be spent at the last advance.
    pub(crate) fn available_nanotokens(&self) -> u64 {
        let own = self.slice.as_ref().map_or(0, |slice| slice.bucket.level());
        self.loans
            .values()
            .fold(own, |sum, loan| sum.saturating_add(loan.bucket.level()))
    }

    /// Returns the rate and capacity of the own slice and the loans together.
    pub(crate) fn held_share(&self) -> LimitShare {
        let own = self
            .slice
            .as_ref()
            .map_or_else(LimitShare::default, |slice| slice.bucket.share());
        self.loans
            .values()
            .fold(own, |sum, loan| sum.saturating_add(loan.bucket.share()))
    }

    /// Takes `amount` nanotokens, from the loans that end first and from the own slice last.
    pub(crate) fn take(&mut self, amount: u64) -> Option<Vec<LimitPart>> {
        if self.available_nanotokens() < amount {
            return None;
        }
        let mut rest = amount;
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
            let source = LimitSource::Loan(lender);
            take_part(&mut loan.bucket, loan.number, source, &mut rest, &mut parts);
        }
        if let Some(slice) = &mut self.slice {
            let source = LimitSource::Slice;
            take_part(
                &mut slice.bucket,
                slice.number,
                source,
                &mut rest,
                &mut parts,
            );
        }
        Some(parts)
    }

    /// Returns the bucket that a part of a reservation came from, if it still exists.
    pub(crate) fn bucket_of(&mut self, part: &LimitPart) -> Option<&mut LimitBucket> {
        let (bucket, number) = match &part.source {
            LimitSource::Slice => {
                let slice = self.slice.as_mut()?;
                (&mut slice.bucket, slice.number)
            }
            LimitSource::Loan(lender) => {
                let loan = self.loans.get_mut(lender)?;
                (&mut loan.bucket, loan.number)
            }
        };
        (number == part.bucket).then_some(bucket)
    }

    /// Returns whether a request to `lender` awaits its answer.
    pub(crate) fn is_asking(&self, lender: &InstanceId, now: MonotonicTime) -> bool {
        self.attempts.get(lender).is_some_and(|attempt| {
            !attempt.answered && now < attempt.sent + LoanTerms::ANSWER_TIMEOUT
        })
    }

    /// Returns whether `lender` was asked so lately that asking again is of no use.
    pub(crate) fn asked_lately(&self, lender: &InstanceId, now: MonotonicTime) -> bool {
        self.attempts
            .get(lender)
            .is_some_and(|attempt| now < attempt.sent + attempt.retry)
    }
}

fn take_part(
    bucket: &mut LimitBucket,
    number: u64,
    source: LimitSource,
    rest: &mut u64,
    parts: &mut Vec<LimitPart>,
) {
    let amount = bucket.level().min(*rest);
    if amount == 0 {
        return;
    }
    if let Some(reservation) = bucket.reserve(amount) {
        *rest -= amount;
        parts.push(LimitPart {
            source,
            bucket: number,
            reservation,
            amount,
        });
    }
}
