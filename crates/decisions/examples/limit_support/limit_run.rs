//! Event handling of the simulation: arrivals, loans, settlements and faults.

use std::{cmp::Reverse, collections::BTreeMap};

use hawthornquay_decisions::{
    LimitShare, LoanCall, LoanGrant, LoanRequest, LoanStep, MonotonicTime,
};

use super::limit_types::*;

impl Run {
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.last_event_number += 1;
        self.events.push(Reverse((at, self.last_event_number)));
        self.event_bodies.insert(self.last_event_number, event);
    }

    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > END_US {
                break;
            }
            self.now = at;
            match self.event_bodies.remove(&number) {
                Some(Event::Arrive(arrival)) => self.arrive(arrival),
                Some(Event::Retry(arrival, instance)) => self.retry_admission(arrival, instance),
                Some(Event::Settle(reservation)) => self.settle(reservation),
                Some(Event::LoanRequest(from, to, req)) => self.handle_loan_request(from, to, &req),
                Some(Event::LoanGrant(from, to, grant)) => self.handle_loan_grant(from, to, &grant),
                Some(Event::Tick(count)) => self.tick(count),
                None => {}
            }
        }
        self
    }

    /// Sends the request to an instance of its domain, in 95% of cases to the slot holder if any.
    pub(crate) fn arrive(&mut self, arrival: usize) {
        let request = &self.arrivals[arrival];
        let organisation = &self.organisations[request.organisation];
        let candidates: Vec<usize> = (0..self.instances.len())
            .filter(|index| {
                let instance = &self.instances[*index];
                instance.alive && instance.domain == request.domain
            })
            .collect();
        let holder = candidates
            .iter()
            .copied()
            .find(|index| self.instances[*index].table.holds_slot(organisation));
        let random = candidates[request.random_choice % candidates.len()];
        let instance = match holder {
            Some(holder) if request.random_choice % 20 < 19 => holder,
            _ => random,
        };
        self.try_admit(arrival, instance);
    }

    /// Admits the request, refuses it, or lets it wait for a loan.
    pub(crate) fn try_admit(&mut self, arrival: usize, instance: usize) {
        let request = &self.arrivals[arrival];
        let (organisation, tokens) = (request.organisation, request.tokens);
        let amount = tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        let now = MonotonicTime(self.now);
        if self.scheme != Scheme::Loans {
            let Some(at) = self.baseline_bucket(arrival, instance) else {
                return self.refuse(arrival);
            };
            self.buckets[at].advance(now);
            return match self.buckets[at].reserve(amount) {
                Some(number) => {
                    let make_reservation =
                        |admission| Reservation::Bucket(at, arrival, number, admission);
                    self.admit(arrival, make_reservation);
                }
                None => self.refuse(arrival),
            };
        }
        let id = self.organisations[organisation].clone();
        let table = &mut self.instances[instance].table;
        if let Some(reservation) = table.reserve(&id, tokens, now) {
            return self.admit(arrival, |admission| {
                Reservation::Loaned(instance, arrival, reservation, admission)
            });
        }
        if self.now > self.arrivals[arrival].at + ADMISSION_TIMEOUT_US {
            return self.refuse(arrival);
        }
        match table.next_loan_step(&id, tokens, now) {
            LoanStep::Ready => self.try_admit(arrival, instance),
            LoanStep::Send(calls) => {
                self.wait_for_grant(arrival, instance);
                let count = calls.len() as u64;
                let loans = &mut self.counters.loans;
                match self.steady[organisation] {
                    true => loans.requests_for_steady += count,
                    false => loans.requests_for_overloaded += count,
                }
                self.send(instance, calls);
            }
            LoanStep::Wait => self.wait_for_grant(arrival, instance),
            LoanStep::Refuse { .. } => self.refuse(arrival),
        }
    }

    /// Returns the index of the baseline's bucket for the request.
    ///
    /// Returns `None` if the store is unreachable or its write rate is exceeded.
    pub(crate) fn baseline_bucket(&mut self, arrival: usize, instance: usize) -> Option<usize> {
        let request = &self.arrivals[arrival];
        if self.scheme == Scheme::StaticSplit {
            let bucket_set = instance % (self.buckets.len() / self.organisations.len());
            return Some(bucket_set * self.organisations.len() + request.organisation);
        }
        // The reservation and its settlement need one write each.
        let second = self.now / 1_000_000;
        if self.store_writes.0 != second {
            self.store_writes = (second, 0);
        }
        if self.is_cut_off(request.domain) || self.store_writes.1 + 2 > MAX_STORE_WRITES_PER_S {
            return None;
        }
        self.store_writes.1 += 2;
        Some(request.organisation)
    }

    pub(crate) fn admit(
        &mut self,
        arrival: usize,
        make_reservation: impl FnOnce(usize) -> Reservation,
    ) {
        let request = &self.arrivals[arrival];
        let amount = request.tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        let ideal_bucket = &mut self.ideal_buckets[request.organisation];
        ideal_bucket.advance(MonotonicTime(self.now));
        ideal_bucket.withdraw(amount);
        let admission = Admission {
            at: self.now,
            organisation: request.organisation,
            amount,
        };
        let (end, waited) = (self.now + request.duration_us, self.now > request.at);
        self.record(arrival, |counters, _| counters.waited += u64::from(waited));
        let reservation = make_reservation(self.admissions.len());
        self.admissions.push(admission);
        self.schedule(end, Event::Settle(reservation));
    }

    /// Counts a refusal; it is wrong if one bucket for the whole fleet would have had the tokens.
    pub(crate) fn refuse(&mut self, arrival: usize) {
        let request = &self.arrivals[arrival];
        let ideal_bucket = &mut self.ideal_buckets[request.organisation];
        ideal_bucket.advance(MonotonicTime(self.now));
        let wrongly = ideal_bucket.level() >= request.tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        self.record(arrival, |counters, steady| {
            counters.refused += 1;
            counters.wrongly_refused += u64::from(wrongly);
            counters.wrongly_refused_of_steady += u64::from(wrongly && steady);
        });
    }

    pub(crate) fn record(&mut self, arrival: usize, add: impl FnOnce(&mut Counters, bool)) {
        let request = &self.arrivals[arrival];
        if request.at < WARM_UP_END_US {
            return;
        }
        let steady = self.steady[request.organisation];
        self.counters.requests += 1;
        self.counters.requests_of_steady += u64::from(steady);
        add(&mut self.counters, steady);
    }

    pub(crate) fn wait_for_grant(&mut self, arrival: usize, instance: usize) {
        self.instances[instance].waiting.push(arrival);
        // 1 ms more than the timeout of a loan request, which is 500 ms.
        self.schedule(self.now + 501_000, Event::Retry(arrival, instance));
    }

    pub(crate) fn retry_admission(&mut self, arrival: usize, instance: usize) {
        let waiting = &mut self.instances[instance].waiting;
        let Some(at) = waiting.iter().position(|entry| *entry == arrival) else {
            return;
        };
        waiting.remove(at);
        if self.instances[instance].alive {
            self.try_admit(arrival, instance);
        }
    }

    pub(crate) fn settle(&mut self, reservation: Reservation) {
        let now = MonotonicTime(self.now);
        let (refund, admission) = match reservation {
            Reservation::Loaned(instance, arrival, reservation, admission) => {
                if !self.instances[instance].alive {
                    return;
                }
                let used = self.arrivals[arrival].used;
                (
                    self.instances[instance]
                        .table
                        .settle(reservation, used, now),
                    admission,
                )
            }
            Reservation::Bucket(at, arrival, number, admission) => {
                let request = &self.arrivals[arrival];
                let unused = (request.tokens - request.used) * LimitShare::NANOTOKENS_PER_TOKEN;
                self.buckets[at].advance(now);
                (self.buckets[at].settle(number, unused), admission)
            }
        };
        let entry = &mut self.admissions[admission];
        entry.amount -= refund;
        let ideal_bucket = &mut self.ideal_buckets[entry.organisation];
        ideal_bucket.advance(now);
        ideal_bucket.deposit(refund);
    }

    pub(crate) fn send(&mut self, from: usize, calls: Vec<LoanCall>) {
        for call in calls {
            self.instances[from].messages += 1;
            let Some(to) = self.by_id.get(&call.lender).copied() else {
                continue;
            };
            let (a, b) = (self.instances[from].domain, self.instances[to].domain);
            let distance = match () {
                () if a == b => 0,
                () if region_of(a) == region_of(b) => 1,
                () => 2,
            };
            self.counters.loans.distance[distance] += 1;
            if let Some(at) = self.delivery_time(from, to) {
                self.schedule(at, Event::LoanRequest(from, to, call.request));
            }
        }
    }

    pub(crate) fn handle_loan_request(&mut self, from: usize, to: usize, req: &LoanRequest) {
        let domain = domain_name(self.instances[from].domain);
        let borrower = self.instances[from].id.clone();
        let lender = &mut self.instances[to];
        if !lender.alive {
            return;
        }
        let now = MonotonicTime(self.now);
        if let Some(grant) = lender
            .table
            .handle_loan_request(&borrower, &domain, req, now)
        {
            lender.messages += 1;
            let loans = &mut self.counters.loans;
            match grant.amount {
                _ if grant.share == LimitShare::default() => loans.empty_grants += 1,
                level if level < req.amount / 2 => loans.partial_grants += 1,
                _ => loans.full_grants += 1,
            }
            if let Some(at) = self.delivery_time(to, from) {
                self.schedule(at, Event::LoanGrant(to, from, grant));
            }
        }
    }

    pub(crate) fn handle_loan_grant(&mut self, from: usize, to: usize, grant: &LoanGrant) {
        let lender = self.instances[from].id.clone();
        let instance = &mut self.instances[to];
        instance
            .table
            .handle_loan_grant(&lender, grant, MonotonicTime(self.now));
        let organisations = &self.organisations;
        let arrivals = &self.arrivals;
        let (ready, waiting) =
            std::mem::take(&mut instance.waiting)
                .into_iter()
                .partition(|arrival: &usize| {
                    organisations[arrivals[*arrival].organisation] == grant.organisation
                });
        instance.waiting = waiting;
        for arrival in ready {
            self.try_admit(arrival, to);
        }
    }

    pub(crate) fn tick(&mut self, count: u64) {
        if self.scenario == Scenario::InstanceLoss && self.now == FAULT_START_US {
            self.instances[0].alive = false;
            self.lost_instance = Some((0, self.now));
            self.add_instance("replacement", 0);
        }
        if self.scheme == Scheme::Loans {
            for index in 0..self.instances.len() {
                if !self.instances[index].alive {
                    continue;
                }
                let calls = self.instances[index]
                    .table
                    .renew_loans(MonotonicTime(self.now));
                self.counters.loans.renewals += calls.len() as u64;
                self.send(index, calls);
                if self.now.is_multiple_of(SLOT_UPDATE_INTERVAL_US)
                    && self.now > 0
                    && !self.is_cut_off(self.instances[index].domain)
                {
                    self.update_slots(index);
                }
            }
        }
        self.schedule(self.now + TICK_US, Event::Tick(count + 1));
    }

    /// Returns the largest number of tokens by which the admissions of an organisation exceed
    /// burst + rate·t in any interval of length t.
    pub(crate) fn overshoot(&self) -> f64 {
        let mut buckets: BTreeMap<usize, (i128, u64)> = BTreeMap::new();
        let mut worst = 0;
        for admission in &self.admissions {
            let id = &self.organisations[admission.organisation];
            let fleet_share = LimitShare::fleet_wide(&self.bundle.organisations[id]);
            let capacity = i128::from(fleet_share.capacity);
            let (level, at) = buckets
                .entry(admission.organisation)
                .or_insert((capacity, 0));
            let accrued = i128::from(fleet_share.rate) * i128::from(admission.at - *at);
            *level = (*level + accrued).min(capacity) - i128::from(admission.amount);
            *at = admission.at;
            worst = worst.min(*level);
        }
        -worst as f64 / LimitShare::NANOTOKENS_PER_TOKEN as f64
    }
}
