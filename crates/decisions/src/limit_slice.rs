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
    /// Parts of earlier loans that were not renewed, with their ends.
    ending: Vec<(LimitShare, MonotonicTime)>,
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
            ending: Vec::new(),
            contended: None,
        }
    }

    /// Adds what accrued and takes back the loans that ended until `now`.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        while let Some(end) = self.ends().min().filter(|end| *end <= now) {
            self.bucket.advance(end);
            self.lent.retain(|_, loan| loan.end > end);
            self.ending.retain(|(_, until)| *until > end);
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

    /// Returns the share that the slice and its loans may use together.
    pub(crate) const fn total(&self) -> LimitShare {
        self.total
    }

    /// Returns the latest end of a loan.
    pub(crate) fn last_end(&self) -> Option<MonotonicTime> {
        self.ends().max()
    }

    /// Returns the rates and capacities lent.
    pub(crate) fn lent(&self) -> LimitShare {
        let lent = self.lent.values().map(|loan| loan.share);
        lent.chain(self.ending.iter().map(|(share, _)| *share))
            .fold(LimitShare::default(), LimitShare::saturating_add)
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
        if !self.lent().fits_in(self.total) {
            // A renewal would bind what a smaller share no longer covers.
            return Some(refused(req));
        }
        let had = self.lower_loan(borrower, req, own_rate, now);
        let wanted = req.share.saturating_sub(had);
        let free = self.bucket.share();
        let kept = self.kept(own_rate);
        let mut rate = wanted.rate.min(free.rate.saturating_sub(kept.rate));
        if self.contended(borrower, now) {
            rate = rate.min(free.rate / 2);
        }
        // Without a part of the capacity, the rate that is kept would overflow.
        let spare = free.capacity.saturating_sub(kept.capacity);
        let capacity = wanted.capacity.min(spare);
        let amount = req.amount.min(had.capacity + capacity);
        let amount = self.bucket.withdraw(amount);
        let capacity = capacity.min(self.bucket.headroom());
        let share = had.saturating_add(LimitShare { rate, capacity });
        if wanted.rate > 0 && rate < wanted.rate / 2 {
            self.contended = Some((borrower.clone(), now + LoanTerms::DURATION));
        }
        if share == LimitShare::default() {
            return Some(refused(req));
        }
        let end = now + req.duration.min(LoanTerms::DURATION) + LoanTerms::EXPIRY_MARGIN;
        let loan = LentLoan {
            share,
            end: self
                .lent
                .get(borrower)
                .map_or(end, |loan| loan.end.max(end)),
            sequence: req.sequence,
        };
        self.lent.insert(borrower.clone(), loan);
        self.apply();
        Some(LoanGrant {
            organisation: req.organisation.clone(),
            sequence: req.sequence,
            share,
            amount,
        })
    }

    /// Lowers an earlier loan and returns what the borrower may keep of it.
    ///
    /// What the borrower gave up by asking for less is free at once. What the lender calls in for
    /// another borrower stays bound until the old end, because the answer may be lost.
    fn lower_loan(
        &mut self,
        borrower: &InstanceId,
        req: &LoanRequest,
        own_rate: u64,
        now: MonotonicTime,
    ) -> LimitShare {
        let users = self.lent.len() as u64 + u64::from(own_rate > 0);
        let contended = self.contended(borrower, now);
        let Some(loan) = self.lent.get_mut(borrower) else {
            return LimitShare::default();
        };
        loan.share = loan.share.component_min(req.share);
        if contended {
            let part = loan.share.component_min(LimitShare {
                rate: self.total.rate / users.max(1),
                capacity: self.total.capacity / users.max(1),
            });
            self.ending
                .push((loan.share.saturating_sub(part), loan.end));
            loan.share = part;
        }
        let had = loan.share;
        self.apply();
        had
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

    fn ends(&self) -> impl Iterator<Item = MonotonicTime> {
        let lent = self.lent.values().map(|loan| loan.end);
        lent.chain(self.ending.iter().map(|(_, end)| *end))
    }

    fn apply(&mut self) {
        self.bucket
            .set_share(self.total.saturating_sub(self.lent()));
    }
}

/// Builds the answer that grants nothing.
pub(crate) fn refused(req: &LoanRequest) -> LoanGrant {
    LoanGrant {
        organisation: req.organisation.clone(),
        sequence: req.sequence,
        share: LimitShare::default(),
        amount: 0,
    }
}
