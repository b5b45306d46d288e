//! Share of an organisation that a slot holder owns.

use std::collections::BTreeMap;

use crate::{
    InstanceId, LimitBucket, LimitShare, LoanGrant, LoanRequest, LoanTerms, MonotonicTime,
};

/// Loan as its lender records it.
#[derive(Clone, Debug)]
struct LentLoan {
    share: LimitShare,
    end: MonotonicTime,
    sequence: u64,
}

/// Bucket of a slot holder with the loans made from it.
#[derive(Clone, Debug)]
pub(crate) struct LimitSlice {
    pub(crate) bucket: LimitBucket,
    pub(crate) number: u64,
    total: LimitShare,
    lent: BTreeMap<InstanceId, LentLoan>,
    contended: Option<(InstanceId, MonotonicTime)>,
}

impl LimitSlice {
    /// Builds an empty slice.
    pub(crate) fn new(number: u64, now: MonotonicTime) -> Self {
        Self {
            bucket: LimitBucket::new(LimitShare::default(), 0, now),
            number,
            total: LimitShare::default(),
            lent: BTreeMap::new(),
            contended: None,
        }
    }

    /// Adds what accrued and takes back the loans that ended until `now`.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        while let Some((borrower, end)) = self.next_end(now) {
            self.bucket.advance(end);
            self.lent.remove(&borrower);
            self.apply();
        }
        self.bucket.advance(now);
    }

    /// Changes the share that the slice and its loans may use together.
    pub(crate) fn set_total(&mut self, total: LimitShare, now: MonotonicTime) {
        self.advance(now);
        self.total = total;
        self.apply();
    }

    /// Returns the latest end of a loan.
    pub(crate) fn last_end(&self) -> Option<MonotonicTime> {
        self.lent.values().map(|loan| loan.end).max()
    }

    /// Returns the rates and capacities lent.
    pub(crate) fn lent(&self) -> LimitShare {
        self.lent
            .values()
            .fold(LimitShare::default(), |sum, loan| sum.plus(loan.share))
    }

    /// Answers a loan request and keeps `own_rate` millitokens per second where it can.
    ///
    /// A late or repeated request gets no answer, since the borrower no longer waits for it.
    pub(crate) fn grant(
        &mut self,
        borrower: &InstanceId,
        req: &LoanRequest,
        own_rate: u64,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        self.advance(now);
        let old = self.lent.get(borrower);
        if old.is_some_and(|loan| loan.sequence >= req.sequence) {
            return None;
        }
        let had = old.map_or_else(LimitShare::default, |loan| loan.share);
        if !self.may_lend(borrower, had, now) {
            return Some(refused(req));
        }
        // The borrower lowers its own loan before it asks for less.
        let had = had.lower(req.share);
        if let Some(loan) = self.lent.get_mut(borrower) {
            loan.share = had;
        }
        self.apply();
        let wanted = req.share.minus(had);
        let free = self.bucket.share();
        let kept = self.kept(own_rate);
        let mut rate = wanted.rate.min(free.rate.saturating_sub(kept.rate));
        if self.contended(borrower, now) {
            rate = rate.min(free.rate / 2);
        }
        let level = self.bucket.withdraw(req.level.min(req.share.capacity));
        // The lender's level must fit the capacity that it keeps, or tokens would be lost.
        let spare = free.capacity.saturating_sub(kept.capacity).max(level);
        let capacity = wanted.capacity.min(spare).min(self.bucket.headroom());
        let share = had.plus(LimitShare { rate, capacity });
        if wanted.rate > 0 && rate < wanted.rate / 2 {
            self.contended = Some((borrower.clone(), now + LoanTerms::DURATION));
        }
        if share == LimitShare::default() {
            return Some(refused(req));
        }
        let loan = LentLoan {
            share,
            end: now + LoanTerms::LONGEST,
            sequence: req.sequence,
        };
        self.lent.insert(borrower.clone(), loan);
        self.apply();
        Some(LoanGrant {
            organisation: req.organisation.clone(),
            sequence: req.sequence,
            share,
            level,
        })
    }

    /// Returns whether a loan may be made or renewed.
    ///
    /// A renewal binds the old amount for longer. It is refused when the share has shrunk below
    /// what is lent, and when another borrower went short while this one has more than its part.
    fn may_lend(&self, borrower: &InstanceId, had: LimitShare, now: MonotonicTime) -> bool {
        let part = self.total.rate / (self.lent.len() as u64 + 1);
        self.lent().fits_in(self.total) && (had.rate <= part || !self.contended(borrower, now))
    }

    /// Returns what is kept for the lender's own callers, at most half.
    fn kept(&self, own_rate: u64) -> LimitShare {
        let rate = own_rate.min(self.total.rate / 2);
        let capacity =
            u128::from(self.total.capacity) * u128::from(rate) / u128::from(self.total.rate.max(1));
        LimitShare {
            rate,
            capacity: u64::try_from(capacity).unwrap_or(u64::MAX),
        }
    }

    fn contended(&self, borrower: &InstanceId, now: MonotonicTime) -> bool {
        self.contended
            .as_ref()
            .is_some_and(|(short, until)| short != borrower && now < *until)
    }

    fn next_end(&self, now: MonotonicTime) -> Option<(InstanceId, MonotonicTime)> {
        self.lent
            .iter()
            .filter(|(_, loan)| loan.end <= now)
            .min_by_key(|(_, loan)| loan.end)
            .map(|(borrower, loan)| (borrower.clone(), loan.end))
    }

    fn apply(&mut self) {
        self.bucket.set_share(self.total.minus(self.lent()));
    }
}

/// Builds the answer that grants nothing.
fn refused(req: &LoanRequest) -> LoanGrant {
    LoanGrant {
        organisation: req.organisation.clone(),
        sequence: req.sequence,
        share: LimitShare::default(),
        level: 0,
    }
}
