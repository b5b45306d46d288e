//! Events of a measurement: arrivals, loans, settlements and faults.

use std::{cmp::Reverse, collections::BTreeMap};

use hawthornquay_decisions::{
    LimitShare, LoanCall, LoanGrant, LoanRequest, LoanStep, MonotonicTime,
};

use super::limit_types::*;

impl Run {
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((at, self.numbers)));
        self.bodies.insert(self.numbers, event);
    }

    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match self.bodies.remove(&number) {
                Some(Event::Arrive(arrival)) => self.arrive(arrival),
                Some(Event::Retry(arrival, instance)) => self.retry(arrival, instance),
                Some(Event::Settle(held)) => self.settle(held),
                Some(Event::Request(from, to, req)) => self.lend(from, to, &req),
                Some(Event::Grant(from, to, grant)) => self.accept(from, to, &grant),
                Some(Event::Tick(count)) => self.tick(count),
                None => {}
            }
        }
        self
    }

    /// Sends the request to an instance of its domain, mostly to the slot holder.
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
        let random = candidates[request.pick % candidates.len()];
        let instance = match holder {
            Some(holder) if request.pick % 20 < 19 => holder,
            _ => random,
        };
        self.try_admit(arrival, instance);
    }

    pub(crate) fn try_admit(&mut self, arrival: usize, instance: usize) {
        let request = &self.arrivals[arrival];
        let (organisation, tokens) = (request.organisation, request.tokens);
        let amount = tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        let now = MonotonicTime(self.now);
        if self.scheme != Scheme::Limits {
            let Some(at) = self.bucket_for(arrival, instance) else {
                return self.refuse(arrival);
            };
            self.buckets[at].advance(now);
            return match self.buckets[at].reserve(amount) {
                Some(number) => {
                    let held = |admission| Held::Bucket(at, arrival, number, admission);
                    self.admit(arrival, held);
                }
                None => self.refuse(arrival),
            };
        }
        let id = self.organisations[organisation].clone();
        let table = &mut self.instances[instance].table;
        if let Some(reservation) = table.reserve(&id, tokens, now) {
            return self.admit(arrival, |admission| {
                Held::Loaned(instance, arrival, reservation, admission)
            });
        }
        if self.now > self.arrivals[arrival].at + GIVE_UP_AFTER {
            return self.refuse(arrival);
        }
        match table.next_loan_step(&id, tokens, now) {
            LoanStep::Ready => self.try_admit(arrival, instance),
            LoanStep::Send(calls) => {
                self.wait(arrival, instance);
                let count = calls.len() as u64;
                let loans = &mut self.figures.loans;
                match self.steady[organisation] {
                    true => loans.asked_by_steady += count,
                    false => loans.asked_by_overloaded += count,
                }
                self.send(instance, calls);
            }
            LoanStep::Wait => self.wait(arrival, instance),
            LoanStep::Refuse { .. } => self.refuse(arrival),
        }
    }

    /// Returns the bucket of a baseline, or `None` when it can't be reached.
    pub(crate) fn bucket_for(&mut self, arrival: usize, instance: usize) -> Option<usize> {
        let request = &self.arrivals[arrival];
        if self.scheme == Scheme::StaticSplit {
            let first = instance % (self.buckets.len() / self.organisations.len());
            return Some(first * self.organisations.len() + request.organisation);
        }
        // A reservation and its settlement take a write each.
        let second = self.now / 1_000_000;
        if self.store_writes.0 != second {
            self.store_writes = (second, 0);
        }
        if self.is_cut_off(request.domain) || self.store_writes.1 + 2 > STORE_WRITES_PER_S {
            return None;
        }
        self.store_writes.1 += 2;
        Some(request.organisation)
    }

    pub(crate) fn admit(&mut self, arrival: usize, held: impl FnOnce(usize) -> Held) {
        let request = &self.arrivals[arrival];
        let amount = request.tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        let reference = &mut self.reference[request.organisation];
        reference.advance(MonotonicTime(self.now));
        reference.withdraw(amount);
        let admission = Admission {
            at: self.now,
            organisation: request.organisation,
            amount,
        };
        let (end, waited) = (self.now + request.runs_for, self.now > request.at);
        self.count(arrival, |figures, _| figures.waited += u64::from(waited));
        let held = held(self.admissions.len());
        self.admissions.push(admission);
        self.push(end, Event::Settle(held));
    }

    /// Counts a refusal, and whether one bucket for the whole fleet would have had the tokens.
    pub(crate) fn refuse(&mut self, arrival: usize) {
        let request = &self.arrivals[arrival];
        let reference = &mut self.reference[request.organisation];
        reference.advance(MonotonicTime(self.now));
        let wrongly = reference.level() >= request.tokens * LimitShare::NANOTOKENS_PER_TOKEN;
        self.count(arrival, |figures, steady| {
            figures.refused += 1;
            figures.wrongly_refused += u64::from(wrongly);
            figures.wrongly_by_steady += u64::from(wrongly && steady);
        });
    }

    pub(crate) fn count(&mut self, arrival: usize, add: impl FnOnce(&mut Figures, bool)) {
        let request = &self.arrivals[arrival];
        if request.at < WARM_UP {
            return;
        }
        let steady = self.steady[request.organisation];
        self.figures.requests += 1;
        self.figures.requests_of_steady += u64::from(steady);
        add(&mut self.figures, steady);
    }

    pub(crate) fn wait(&mut self, arrival: usize, instance: usize) {
        self.instances[instance].waiting.push(arrival);
        self.push(self.now + 501_000, Event::Retry(arrival, instance));
    }

    pub(crate) fn retry(&mut self, arrival: usize, instance: usize) {
        let waiting = &mut self.instances[instance].waiting;
        let Some(at) = waiting.iter().position(|entry| *entry == arrival) else {
            return;
        };
        waiting.remove(at);
        if self.instances[instance].alive {
            self.try_admit(arrival, instance);
        }
    }

    pub(crate) fn settle(&mut self, held: Held) {
        let now = MonotonicTime(self.now);
        let (refund, admission) = match held {
            Held::Loaned(instance, arrival, reservation, admission) => {
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
            Held::Bucket(at, arrival, number, admission) => {
                let request = &self.arrivals[arrival];
                let unused = (request.tokens - request.used) * LimitShare::NANOTOKENS_PER_TOKEN;
                self.buckets[at].advance(now);
                (self.buckets[at].settle(number, unused), admission)
            }
        };
        let entry = &mut self.admissions[admission];
        entry.amount -= refund;
        let reference = &mut self.reference[entry.organisation];
        reference.advance(now);
        reference.deposit(refund);
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
            self.figures.loans.distance[distance] += 1;
            if let Some(at) = self.delivery(from, to) {
                self.push(at, Event::Request(from, to, call.request));
            }
        }
    }

    pub(crate) fn lend(&mut self, from: usize, to: usize, req: &LoanRequest) {
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
            let loans = &mut self.figures.loans;
            match grant.amount {
                _ if grant.share == LimitShare::default() => loans.empty_grants += 1,
                level if level < req.amount / 2 => loans.partial_grants += 1,
                _ => loans.full_grants += 1,
            }
            if let Some(at) = self.delivery(to, from) {
                self.push(at, Event::Grant(to, from, grant));
            }
        }
    }

    pub(crate) fn accept(&mut self, from: usize, to: usize, grant: &LoanGrant) {
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
        if self.scenario == Scenario::InstanceLoss && self.now == FAULT_FROM {
            self.instances[0].alive = false;
            self.lost = Some((0, self.now));
            self.add_instance("replacement", 0);
        }
        if self.scheme == Scheme::Limits {
            for index in 0..self.instances.len() {
                if !self.instances[index].alive {
                    continue;
                }
                let calls = self.instances[index]
                    .table
                    .renew_loans(MonotonicTime(self.now));
                self.figures.loans.renewals += calls.len() as u64;
                self.send(index, calls);
                if self.now.is_multiple_of(SLOT_TICK)
                    && self.now > 0
                    && !self.is_cut_off(self.instances[index].domain)
                {
                    self.update_slots(index);
                }
            }
        }
        self.push(self.now + TICK, Event::Tick(count + 1));
    }

    /// Returns the worst excess in tokens over burst + rate·t, over all organisations.
    pub(crate) fn overshoot(&self) -> f64 {
        let mut buckets: BTreeMap<usize, (i128, u64)> = BTreeMap::new();
        let mut worst = 0;
        for admission in &self.admissions {
            let id = &self.organisations[admission.organisation];
            let whole = LimitShare::fleet_wide(&self.bundle.organisations[id]);
            let capacity = i128::from(whole.capacity);
            let (level, at) = buckets
                .entry(admission.organisation)
                .or_insert((capacity, 0));
            let gained = i128::from(whole.rate) * i128::from(admission.at - *at);
            *level = (*level + gained).min(capacity) - i128::from(admission.amount);
            *at = admission.at;
            worst = worst.min(*level);
        }
        -worst as f64 / LimitShare::NANOTOKENS_PER_TOKEN as f64
    }
}
