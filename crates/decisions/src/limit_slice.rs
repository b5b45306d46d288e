//! Share of an organisation's limit that a slot holder owns.

use std::collections::BTreeMap;

use crate::{
    InstanceId, LimitBucket, LimitShare, LoanGrant, LoanRequest, LoanTerms, MonotonicTime,
};

/// Loan as recorded by the lender.
#[derive(Clone, Debug)]
struct GrantedLoan {
    share: LimitShare,
    end: MonotonicTime,
    sequence: u64,
}

/// Share of one organisation's limit that a slot holder owns: its bucket and the loans from it.
///
/// The share that is lent is deducted from the bucket's rate and capacity until the loan ends.
#[derive(Clone, Debug)]
pub(crate) struct LimitSlice {
    pub(crate) bucket: LimitBucket,
    pub(crate) bucket_number: u64,
    /// Share of the bucket and the loans together.
    total: LimitShare,
    loans: BTreeMap<InstanceId, GrantedLoan>,
    /// Parts of loans that a renewal took back, with the times until which the borrower may still
    /// spend them.
    reclaimed: Vec<(LimitShare, MonotonicTime)>,
    /// Borrower that got less than half of the additional rate it requested, and the time until
    /// which the loans of other borrowers are reduced for it.
    underserved: Option<(InstanceId, MonotonicTime)>,
}

impl LimitSlice {
    /// Creates an empty slice; its share is set by [`Self::set_total`].
    pub(crate) fn new(bucket_number: u64, now: MonotonicTime) -> Self {
        Self {
            bucket: LimitBucket::new(LimitShare::default(), 0, now),
            bucket_number,
            total: LimitShare::default(),
            loans: BTreeMap::new(),
            reclaimed: Vec::new(),
            underserved: None,
        }
    }

    /// Adds the tokens that accrued up to `now`, and returns the shares of ended loans to the
    /// bucket.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        while let Some(end) = self.loan_ends().min().filter(|end| *end <= now) {
            self.bucket.advance(end);
            self.loans.retain(|_, loan| loan.end > end);
            self.reclaimed.retain(|(_, until)| *until > end);
            self.update_bucket_share();
        }
        self.bucket.advance(now);
    }

    /// Changes the share that the bucket and the loans may use together.
    pub(crate) fn set_total(&mut self, total: LimitShare, now: MonotonicTime) {
        self.advance(now);
        self.total = total;
        self.update_bucket_share();
    }

    /// Returns the share that the bucket and the loans may use together.
    pub(crate) const fn total(&self) -> LimitShare {
        self.total
    }

    /// Returns the time at which the last loan ends, or `None` if nothing is lent.
    pub(crate) fn last_loan_end(&self) -> Option<MonotonicTime> {
        self.loan_ends().max()
    }

    /// Returns the rate and capacity that are lent.
    pub(crate) fn lent_share(&self) -> LimitShare {
        let lent = self.loans.values().map(|loan| loan.share);
        lent.chain(self.reclaimed.iter().map(|(share, _)| *share))
            .fold(LimitShare::default(), LimitShare::saturating_add)
    }

    /// Answers a loan request.
    ///
    /// Of the slice's rate, up to `own_rate` millitokens per second are kept for the lender's own
    /// callers, but no more than half. A request whose sequence number is not higher than that of
    /// the current loan is late or repeated. It gets no answer, because the borrower no longer
    /// waits for one.
    pub(crate) fn grant(
        &mut self,
        borrower: &InstanceId,
        req: &LoanRequest,
        own_rate: u64,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        self.advance(now);
        let old = self.loans.get(borrower);
        if old.is_some_and(|loan| loan.sequence >= req.sequence) {
            return None;
        }
        if !self.lent_share().fits_in(self.total) {
            // The share was lowered below what is lent; a renewal would prolong the excess.
            return Some(refused_grant(req));
        }
        let retained = self.reduce_loan(borrower, req, own_rate, now);
        let wanted = req.share.saturating_sub(retained);
        let free = self.bucket.share();
        let own_reserve = self.own_reserve(own_rate);
        let mut rate = wanted.rate.min(free.rate.saturating_sub(own_reserve.rate));
        if self.is_other_underserved(borrower, now) {
            rate = rate.min(free.rate / 2);
        }
        // Capacity is reserved in proportion to the reserved rate. Without it, the tokens that
        // accrue at that rate would overflow.
        let spare = free.capacity.saturating_sub(own_reserve.capacity);
        let capacity = wanted.capacity.min(spare);
        let amount = req.amount.min(retained.capacity + capacity);
        let amount = self.bucket.withdraw(amount);
        let capacity = capacity.min(self.bucket.headroom());
        let share = retained.saturating_add(LimitShare { rate, capacity });
        if wanted.rate > 0 && rate < wanted.rate / 2 {
            self.underserved = Some((borrower.clone(), now + LoanTerms::DURATION));
        }
        if share == LimitShare::default() {
            return Some(refused_grant(req));
        }
        let end = now + req.duration.min(LoanTerms::DURATION) + LoanTerms::EXPIRY_MARGIN;
        let loan = GrantedLoan {
            share,
            end: self
                .loans
                .get(borrower)
                .map_or(end, |loan| loan.end.max(end)),
            sequence: req.sequence,
        };
        self.loans.insert(borrower.clone(), loan);
        self.update_bucket_share();
        Some(LoanGrant {
            organisation: req.organisation.clone(),
            sequence: req.sequence,
            share,
            amount,
        })
    }

    /// Reduces an earlier loan and returns the share that the borrower retains.
    ///
    /// A part that the borrower released by requesting less is available at once. A part that the
    /// lender takes back for another borrower stays lent until the loan's previous end, because the
    /// answer may be lost and the borrower may spend it until then.
    fn reduce_loan(
        &mut self,
        borrower: &InstanceId,
        req: &LoanRequest,
        own_rate: u64,
        now: MonotonicTime,
    ) -> LimitShare {
        let users = self.loans.len() as u64 + u64::from(own_rate > 0);
        let other_underserved = self.is_other_underserved(borrower, now);
        let Some(loan) = self.loans.get_mut(borrower) else {
            return LimitShare::default();
        };
        loan.share = loan.share.component_min(req.share);
        if other_underserved {
            let equal_share = loan.share.component_min(LimitShare {
                rate: self.total.rate / users.max(1),
                capacity: self.total.capacity / users.max(1),
            });
            self.reclaimed
                .push((loan.share.saturating_sub(equal_share), loan.end));
            loan.share = equal_share;
        }
        let retained = loan.share;
        self.update_bucket_share();
        retained
    }

    /// Returns the share that is kept for the lender's own callers, at most half of the slice.
    fn own_reserve(&self, own_rate: u64) -> LimitShare {
        let rate = own_rate.min(self.total.rate / 2);
        let capacity =
            u128::from(self.total.capacity) * u128::from(rate) / u128::from(self.total.rate.max(1));
        LimitShare {
            rate,
            capacity: u64::try_from(capacity).unwrap_or(u64::MAX),
        }
    }

    /// Returns whether a borrower other than `borrower` is underserved.
    fn is_other_underserved(&self, borrower: &InstanceId, now: MonotonicTime) -> bool {
        self.underserved
            .as_ref()
            .is_some_and(|(underserved, until)| underserved != borrower && now < *until)
    }

    fn loan_ends(&self) -> impl Iterator<Item = MonotonicTime> {
        let lent = self.loans.values().map(|loan| loan.end);
        lent.chain(self.reclaimed.iter().map(|(_, end)| *end))
    }

    /// Sets the share of the bucket to the part of the total that is not lent.
    fn update_bucket_share(&mut self) {
        self.bucket
            .set_share(self.total.saturating_sub(self.lent_share()));
    }
}

/// Returns the answer that grants nothing.
pub(crate) fn refused_grant(req: &LoanRequest) -> LoanGrant {
    LoanGrant {
        organisation: req.organisation.clone(),
        sequence: req.sequence,
        share: LimitShare::default(),
        amount: 0,
    }
}
