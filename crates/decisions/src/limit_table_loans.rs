//! Loans between the limit tables of the instances.

use std::time::Duration;

use crate::{
    DomainName, InstanceId, LimitBucket, LimitShare, LimitTable, LoanCall, LoanGrant, LoanRequest,
    LoanStep, LoanTerms, MonotonicTime, OrganisationId, Residency, SlotIndex,
    limit_organisation::{BorrowedLoan, LimitOrganisation, LoanAttempt},
    limit_slice::refused_grant,
};

/// Slot holder that may lend, with its failure domain.
type Lender = (DomainName, InstanceId);

impl LimitTable {
    /// Returns the slot holders that may lend for `organisation`, nearest group first.
    ///
    /// The groups are the holder in this failure domain, the holders in the other failure domains
    /// of the region, and the holders in other regions. Failure domains in regions that the
    /// residency excludes are left out.
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

    /// Decides the next step of a request for which [`Self::reserve`] returned `None`.
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
        if amount > state.fleet_limit.capacity {
            return refuse(state.fleet_limit, missing);
        }
        for group in groups {
            if group
                .iter()
                .any(|(_, lender)| state.has_pending_request(lender, now))
            {
                return LoanStep::Wait;
            }
            let group: Vec<Lender> = group
                .into_iter()
                .filter(|(_, lender)| !state.in_retry_delay(lender, now))
                .collect();
            if group.is_empty() {
                continue;
            }
            let target = target_rate(state, now);
            let one_off =
                target.saturating_mul(LOAN_DURATION_S) < amount / NANOTOKENS_PER_MILLITOKEN;
            let (rate, spare, duration) = if one_off {
                (0, 0, LoanTerms::ONE_REQUEST_DURATION)
            } else {
                let rate = target.saturating_sub(state.held_share().rate);
                let spare = target.saturating_mul(NANOTOKENS_PER_MILLITOKEN) / 4;
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
            // The first lender depends on the incarnation, which spreads borrowers over the
            // lenders.
            let first = self.instance.incarnation.0 as usize % group.len();
            let calls = group
                .iter()
                .cycle()
                .skip(first)
                .take(count as usize)
                .map(|(domain, lender)| {
                    let current = loan_share(state, lender);
                    let headroom = loan_headroom(state, lender);
                    let share = current.saturating_add(LimitShare {
                        rate,
                        capacity: loan_amount.max(burst_for(rate)).saturating_sub(headroom),
                    });
                    self.last_loan_sequence += 1;
                    let (domain, lender) = (domain.clone(), lender.clone());
                    start_attempt(
                        state,
                        organisation,
                        domain,
                        lender,
                        share,
                        loan_amount,
                        duration,
                        self.last_loan_sequence,
                        now,
                    )
                })
                .collect();
            return LoanStep::Send(calls);
        }
        state.demand.charge(amount, now);
        refuse(state.fleet_limit, missing)
    }

    /// Returns the requests that renew the loans in use; must be called several times per second.
    ///
    /// Loans that the demand no longer requires are not renewed and end.
    pub fn renew_loans(&mut self, now: MonotonicTime) -> Vec<LoanCall> {
        let mut calls = Vec::new();
        for (organisation, state) in &mut self.organisations {
            if state.loans.is_empty() {
                continue;
            }
            state.advance(now);
            let target = target_rate(state, now);
            let mut held = state.held_share().rate;
            let lenders: Vec<InstanceId> = state.loans.keys().cloned().collect();
            for lender in lenders {
                let due = state.loans[&lender].end <= now + LoanTerms::RENEW_BEFORE;
                if !due
                    || state.has_pending_request(&lender, now)
                    || state.in_retry_delay(&lender, now)
                {
                    continue;
                }
                let current = loan_share(state, &lender);
                let surplus = held.saturating_sub(target).min(current.rate);
                // A small surplus is kept, so that variations of demand don't change every renewal.
                let rate = if surplus > current.rate / 2 {
                    current.rate - surplus
                } else {
                    current.rate
                };
                held -= current.rate - rate;
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
                    capacity: current.capacity,
                };
                self.last_loan_sequence += 1;
                calls.push(start_attempt(
                    state,
                    organisation,
                    domain,
                    lender,
                    share,
                    0,
                    LoanTerms::DURATION,
                    self.last_loan_sequence,
                    now,
                ));
            }
        }
        calls
    }

    /// Answers a loan request from `borrower` in `domain`.
    ///
    /// Returns `None` if the request is repeated or late, its organisation is unknown, or the
    /// residency does not allow the borrower's region. Also returns `None` if this instance does
    /// not hold the slot or is shutting down.
    pub fn handle_loan_request(
        &mut self,
        borrower: &InstanceId,
        domain: &DomainName,
        req: &LoanRequest,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        let residency = self.residencies.get(&req.organisation)?;
        if self.releasing_all || *borrower == self.instance || !self.allows(residency, domain) {
            return None;
        }
        let state = self.organisations.get_mut(&req.organisation)?;
        if self.handovers.contains_key(&state.slot) {
            return Some(refused_grant(req));
        }
        let own_rate = state.demand.rate(now);
        let slice = state.slice.as_mut()?;
        slice.grant(borrower, req, own_rate, now)
    }

    /// Applies the answer to a loan request.
    ///
    /// Returns whether it answers the latest request to the lender and grants a loan that has not
    /// ended.
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
        attempt.retry_delay = if !refused && grant.amount >= attempt.amount {
            // A lender that granted the full amount may have more to lend.
            Duration::ZERO
        } else if grant.amount >= attempt.amount / 2 && !refused {
            LoanTerms::MIN_RETRY_DELAY
        } else {
            (attempt.retry_delay * 2).clamp(LoanTerms::MIN_RETRY_DELAY, LoanTerms::DURATION)
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
        self.last_bucket_number += 1;
        let loan = BorrowedLoan {
            bucket: LimitBucket::new(grant.share, grant.amount, now),
            bucket_number: self.last_bucket_number,
            end,
        };
        state.loans.insert(lender.clone(), loan);
        true
    }

    /// Returns whether `residency` allows the region of `domain`.
    fn allows(&self, residency: &Residency, domain: &DomainName) -> bool {
        self.regions
            .get(domain)
            .is_some_and(|region| residency.allows(region))
    }
}

/// Number of nanotokens in one millitoken.
const NANOTOKENS_PER_MILLITOKEN: u64 =
    LimitShare::NANOTOKENS_PER_TOKEN / LimitShare::MILLITOKENS_PER_TOKEN;

/// Duration of a loan in seconds.
///
/// A request for more tokens than the average demand of this time counts as a single large request,
/// which gets a shorter loan.
const LOAN_DURATION_S: u64 = LoanTerms::DURATION.as_secs();

/// Returns the number of lenders of the group that are asked to cover `missing`.
///
/// All holders are assumed to have equal shares and to lend half of them. The other lenders get a
/// request only if these grant too little, which saves messages.
fn lenders_needed(
    state: &LimitOrganisation,
    group: &[Lender],
    missing: LimitShare,
    lenders: u64,
) -> u64 {
    let expected = |whole: u64| (whole / (2 * (lenders + 1))).max(1);
    let rate = missing.rate.div_ceil(expected(state.fleet_limit.rate));
    let level = missing
        .capacity
        .div_ceil(expected(state.fleet_limit.capacity));
    rate.max(level).clamp(1, group.len() as u64)
}

/// Returns the rate to hold, in millitokens per second: the average demand plus a quarter as a
/// reserve, but at most the fleet-wide rate.
fn target_rate(state: &mut LimitOrganisation, now: MonotonicTime) -> u64 {
    let rate = state.demand.rate(now);
    rate.saturating_add(rate / 4).min(state.fleet_limit.rate)
}

/// Returns the capacity in nanotokens that accrues in two seconds at `rate`.
fn burst_for(rate: u64) -> u64 {
    rate.saturating_mul(2 * NANOTOKENS_PER_MILLITOKEN)
}

/// Returns the share borrowed from `lender`.
fn loan_share(state: &LimitOrganisation, lender: &InstanceId) -> LimitShare {
    state
        .loans
        .get(lender)
        .map_or_else(LimitShare::default, |loan| loan.bucket.share())
}

/// Returns the free capacity in nanotokens of the loan from `lender`.
fn loan_headroom(state: &LimitOrganisation, lender: &InstanceId) -> u64 {
    state
        .loans
        .get(lender)
        .map_or(0, |loan| loan.bucket.headroom())
}

/// Records the attempt, reduces the loan to the requested share, and returns the request.
///
/// The loan is reduced at once, because the lender may give the rest to others on receipt.
#[expect(
    clippy::too_many_arguments,
    reason = "the arguments are the fields of one message"
)]
fn start_attempt(
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
    let retry_delay = state
        .attempts
        .get(&lender)
        .map_or(LoanTerms::MIN_RETRY_DELAY, |attempt| attempt.retry_delay);
    let attempt = LoanAttempt {
        sequence,
        sent_at: now,
        amount,
        end: now + duration,
        answered: false,
        retry_delay,
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

/// Refuses the request until `limit` has accrued the `missing` nanotokens.
fn refuse(limit: LimitShare, missing: u64) -> LoanStep {
    let micros = missing.div_ceil(limit.rate.max(1));
    LoanStep::Refuse {
        retry_after: Duration::from_micros(micros),
    }
}
