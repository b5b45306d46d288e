//! Loans of the limit table.

use std::time::Duration;

use crate::{
    DomainName, InstanceId, LimitBucket, LimitShare, LimitTable, LoanCall, LoanGrant, LoanRequest,
    LoanStep, LoanTerms, MonotonicTime, OrganisationId, Residency, SlotIndex,
    limit_organisation::{BorrowedLoan, LimitOrganisation, LoanAttempt},
    limit_slice::refused,
};

/// Slot holder that may lend.
type Lender = (DomainName, InstanceId);

impl LimitTable {
    /// Returns the slot holders that may lend for `organisation`, in the order to ask.
    ///
    /// Each group is asked at once: the holder in the own domain, the holders in the other domains
    /// of the region, and those in other regions that the residency allows.
    pub fn lender_groups(
        &self,
        organisation: &OrganisationId,
    ) -> Vec<Vec<(DomainName, InstanceId)>> {
        let Some(residency) = self.residencies.get(organisation) else {
            return Vec::new();
        };
        let mut groups: [Vec<Lender>; 3] = Default::default();
        for (domain, record) in self.snapshot.records(SlotIndex::of(organisation)) {
            if record.holder == self.instance || !self.allows(residency, domain) {
                continue;
            }
            let group = if *domain == self.domain {
                0
            } else if self.regions.get(domain) == self.regions.get(&self.domain) {
                1
            } else {
                2
            };
            groups[group].push((domain.clone(), record.holder.clone()));
        }
        groups.iter_mut().for_each(|group| group.sort());
        groups
            .into_iter()
            .filter(|group| !group.is_empty())
            .collect()
    }

    /// Decides the next step of a request that [`Self::reserve`] could not admit.
    pub fn next_loan_step(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: MonotonicTime,
    ) -> LoanStep {
        let groups = self.lender_groups(organisation);
        let lenders = groups.iter().map(Vec::len).sum::<usize>() as u64;
        let amount = tokens.saturating_mul(LimitShare::NANOTOKENS_PER_TOKEN);
        let Some(state) = self.organisations.get_mut(organisation) else {
            return refuse(LimitShare::default(), amount);
        };
        state.advance(now);
        let missing = amount.saturating_sub(state.available_nanotokens());
        if missing == 0 {
            return LoanStep::Ready;
        }
        if amount > state.whole.capacity {
            return refuse(state.whole, missing);
        }
        for group in groups {
            if group.iter().any(|(_, lender)| state.is_asking(lender, now)) {
                return LoanStep::Wait;
            }
            let group: Vec<Lender> = group
                .into_iter()
                .filter(|(_, lender)| !state.asked_lately(lender, now))
                .collect();
            if group.is_empty() {
                continue;
            }
            let wanted = wanted_rate(state, now);
            let single = wanted.saturating_mul(LOAN_SECONDS) < amount / NANOTOKENS_PER_MILLITOKEN;
            let (rate, spare, duration) = if single {
                (0, 0, LoanTerms::ONE_REQUEST_DURATION)
            } else {
                let rate = wanted.saturating_sub(state.held_share().rate);
                let spare = wanted.saturating_mul(NANOTOKENS_PER_MILLITOKEN) / 4;
                (rate, spare, LoanTerms::DURATION)
            };
            let loan_amount = missing.saturating_add(spare);
            let count = lenders_needed(
                state,
                &group,
                LimitShare {
                    rate,
                    capacity: loan_amount,
                },
                lenders,
            );
            let (rate, loan_amount) = (rate.div_ceil(count), loan_amount.div_ceil(count));
            // Borrowers begin at different lenders, so that none is asked by all.
            let first = self.instance.incarnation.0 as usize % group.len();
            let calls = group
                .iter()
                .cycle()
                .skip(first)
                .take(count as usize)
                .map(|(domain, lender)| {
                    let had = loan_share(state, lender);
                    let room = bucket_room(state, lender);
                    let share = had.saturating_add(LimitShare {
                        rate,
                        capacity: loan_amount.max(burst_of(rate)).saturating_sub(room),
                    });
                    self.sequence += 1;
                    let (domain, lender) = (domain.clone(), lender.clone());
                    call(
                        state,
                        organisation,
                        domain,
                        lender,
                        share,
                        loan_amount,
                        duration,
                        self.sequence,
                        now,
                    )
                })
                .collect();
            return LoanStep::Send(calls);
        }
        state.demand.charge(amount, now);
        refuse(state.whole, missing)
    }

    /// Returns the requests that keep the loans in use; to be called several times a second.
    ///
    /// Loans that the demand no longer needs are left to end.
    pub fn renew_loans(&mut self, now: MonotonicTime) -> Vec<LoanCall> {
        let mut calls = Vec::new();
        for (organisation, state) in &mut self.organisations {
            if state.loans.is_empty() {
                continue;
            }
            state.advance(now);
            let wanted = wanted_rate(state, now);
            let mut held = state.held_share().rate;
            let lenders: Vec<InstanceId> = state.loans.keys().cloned().collect();
            for lender in lenders {
                let due = state.loans[&lender].end <= now + LoanTerms::RENEW_BEFORE;
                if !due || state.is_asking(&lender, now) || state.asked_lately(&lender, now) {
                    continue;
                }
                let had = loan_share(state, &lender);
                let surplus = held.saturating_sub(wanted).min(had.rate);
                // A small surplus stays, so that varying demand does not change loans each time.
                let rate = if surplus > had.rate / 2 {
                    had.rate - surplus
                } else {
                    had.rate
                };
                held -= had.rate - rate;
                let domain = self
                    .snapshot
                    .records(state.slot)
                    .find(|(_, record)| record.holder == lender)
                    .map(|(domain, _)| domain.clone());
                let (Some(domain), true) = (domain, rate > 0) else {
                    continue;
                };
                let share = LimitShare {
                    rate,
                    capacity: had.capacity,
                };
                self.sequence += 1;
                calls.push(call(
                    state,
                    organisation,
                    domain,
                    lender,
                    share,
                    0,
                    LoanTerms::DURATION,
                    self.sequence,
                    now,
                ));
            }
        }
        calls
    }

    /// Answers a loan request; a repeated, late or disallowed one gets no answer.
    pub fn handle_loan_request(
        &mut self,
        borrower: &InstanceId,
        domain: &DomainName,
        req: &LoanRequest,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        let residency = self.residencies.get(&req.organisation)?;
        if self.releasing || *borrower == self.instance || !self.allows(residency, domain) {
            return None;
        }
        let state = self.organisations.get_mut(&req.organisation)?;
        if self.returning.contains_key(&state.slot) {
            return Some(refused(req));
        }
        let own_rate = state.demand.rate(now);
        let slice = state.slice.as_mut()?;
        slice.grant(borrower, req, own_rate, now)
    }

    /// Takes a loan; returns whether it was the awaited answer and brought something.
    pub fn handle_loan_grant(
        &mut self,
        lender: &InstanceId,
        grant: &LoanGrant,
        now: MonotonicTime,
    ) -> bool {
        let Some(state) = self.organisations.get_mut(&grant.organisation) else {
            return false;
        };
        state.advance(now);
        let Some(attempt) = state.attempts.get_mut(lender) else {
            return false;
        };
        if attempt.answered || attempt.sequence != grant.sequence {
            return false;
        }
        attempt.answered = true;
        let end = attempt.end;
        let refused = grant.share == LimitShare::default();
        attempt.retry = if !refused && grant.amount >= attempt.amount {
            // A lender that gave all that was asked for may have more.
            Duration::ZERO
        } else if grant.amount >= attempt.amount / 2 && !refused {
            LoanTerms::MIN_RETRY_DELAY
        } else {
            (attempt.retry * 2).clamp(LoanTerms::MIN_RETRY_DELAY, LoanTerms::DURATION)
        };
        if refused || end <= now {
            return false;
        }
        if let Some(loan) = state.loans.get_mut(lender) {
            loan.bucket.set_share(grant.share);
            loan.bucket.deposit(grant.amount);
            loan.end = loan.end.max(end);
            return true;
        }
        self.buckets += 1;
        let loan = BorrowedLoan {
            bucket: LimitBucket::new(grant.share, grant.amount, now),
            number: self.buckets,
            end,
        };
        state.loans.insert(lender.clone(), loan);
        true
    }

    fn allows(&self, residency: &Residency, domain: &DomainName) -> bool {
        self.regions
            .get(domain)
            .is_some_and(|region| residency.allows(region))
    }
}

/// Nanotokens in one millitoken.
const NANOTOKENS_PER_MILLITOKEN: u64 =
    LimitShare::NANOTOKENS_PER_TOKEN / LimitShare::MILLITOKENS_PER_TOKEN;

/// Seconds of a loan, by which a steady demand is told from a single request.
const LOAN_SECONDS: u64 = LoanTerms::DURATION.as_secs();

/// Returns how many lenders of the group can be expected to cover `missing` with half their share.
///
/// The others are asked only if these lend too little, which saves messages.
fn lenders_needed(
    state: &LimitOrganisation,
    group: &[Lender],
    missing: LimitShare,
    lenders: u64,
) -> u64 {
    let one = |whole: u64| (whole / (2 * (lenders + 1))).max(1);
    let rate = missing.rate.div_ceil(one(state.whole.rate));
    let level = missing.capacity.div_ceil(one(state.whole.capacity));
    rate.max(level).clamp(1, group.len() as u64)
}

/// Returns the rate that covers the demand with a quarter to spare.
fn wanted_rate(state: &mut LimitOrganisation, now: MonotonicTime) -> u64 {
    let rate = state.demand.rate(now);
    rate.saturating_add(rate / 4).min(state.whole.rate)
}

/// Returns the capacity that holds two seconds of `rate`.
fn burst_of(rate: u64) -> u64 {
    rate.saturating_mul(2 * NANOTOKENS_PER_MILLITOKEN)
}

fn loan_share(state: &LimitOrganisation, lender: &InstanceId) -> LimitShare {
    state
        .loans
        .get(lender)
        .map_or_else(LimitShare::default, |loan| loan.bucket.share())
}

fn bucket_room(state: &LimitOrganisation, lender: &InstanceId) -> u64 {
    state
        .loans
        .get(lender)
        .map_or(0, |loan| loan.bucket.headroom())
}

/// Records the attempt, lowers the loan to what is asked for, and builds the request.
#[expect(clippy::too_many_arguments, reason = "all are parts of one message")]
fn call(
    state: &mut LimitOrganisation,
    organisation: &OrganisationId,
    domain: DomainName,
    lender: InstanceId,
    share: LimitShare,
    amount: u64,
    duration: Duration,
    sequence: u64,
    now: MonotonicTime,
) -> LoanCall {
    if let Some(loan) = state.loans.get_mut(&lender) {
        let lowered = loan.bucket.share().component_min(share);
        loan.bucket.set_share(lowered);
    }
    let retry = state
        .attempts
        .get(&lender)
        .map_or(LoanTerms::MIN_RETRY_DELAY, |attempt| attempt.retry);
    let attempt = LoanAttempt {
        sequence,
        sent: now,
        amount,
        end: now + duration,
        answered: false,
        retry,
    };
    state.attempts.insert(lender.clone(), attempt);
    LoanCall {
        lender,
        domain,
        request: LoanRequest {
            organisation: organisation.clone(),
            sequence,
            share,
            amount,
            duration,
        },
    }
}

fn refuse(whole: LimitShare, missing: u64) -> LoanStep {
    let micros = missing.div_ceil(whole.rate.max(1));
    LoanStep::Refuse {
        retry_after: Duration::from_micros(micros),
    }
}
