//! Simulated fleet with faults, which records every admission.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    Bundle, DomainName, DomainSlots, InstanceId, InstanceRecord, InstanceState, LimitReservation,
    LimitShare, LimitTable, LoanCall, LoanGrant, LoanRequest, LoanStep, MonotonicTime,
    OrganisationId, SlotIndex, SlotRelease, SlotRules, SlotSnapshot,
};

use super::record;

/// Drift of the fastest clock, in parts per million.
pub const DRIFT_PPM: i64 = 100;
/// Fate of messages that arrive once, after 5 ms.
pub const FAULTLESS: u8 = 255;
const LAG_MS: u64 = 500;

enum Message {
    Request(InstanceId, DomainName, LoanRequest),
    Grant(InstanceId, LoanGrant),
}

pub(super) struct Process {
    pub(super) table: LimitTable,
    pub(super) id: InstanceId,
    pub(super) domain: DomainName,
    pub(super) address: SocketAddr,
    pub(super) alive: bool,
    pub(super) asleep_until: u64,
    pub(super) started: u64,
    pub(super) offset: u64,
    pub(super) drift: i64,
    pub(super) open: Vec<(LimitReservation, usize)>,
}

pub(super) struct Admission {
    pub(super) at: u64,
    pub(super) organisation: OrganisationId,
    pub(super) amount: u64,
}

/// Compare-and-swap on its way to the store.
struct SlotWrite {
    due: u64,
    domain: DomainName,
    expected: u64,
    value: DomainSlots,
}

pub struct Fleet {
    pub now: u64,
    pub(super) processes: Vec<Process>,
    mail: Vec<(u64, InstanceId, Message, u8)>,
    writes: Vec<SlotWrite>,
    pub(super) bundles: Vec<Bundle>,
    pub(super) store: SlotSnapshot,
    revisions: BTreeMap<DomainName, u64>,
    past: Vec<SlotSnapshot>,
    states: BTreeMap<String, Vec<(u64, InstanceState)>>,
    pub(super) admissions: Vec<Admission>,
    /// Versions that may be in use, from each time on: the lowest by slot, and the highest.
    pub(super) versions: Vec<(u64, [u64; SlotIndex::COUNT as usize], u64)>,
    incarnations: u64,
}

impl Fleet {
    pub fn new(bundle: Bundle, instances_per_domain: usize) -> Self {
        let mut domains: Vec<DomainName> = bundle.domains.keys().cloned().collect();
        domains.sort();
        let mut fleet = Self {
            now: 0,
            processes: Vec::new(),
            mail: Vec::new(),
            writes: Vec::new(),
            bundles: vec![bundle],
            store: SlotSnapshot::default(),
            revisions: BTreeMap::new(),
            past: Vec::new(),
            states: BTreeMap::new(),
            admissions: Vec::new(),
            versions: Vec::new(),
            incarnations: 0,
        };
        for domain in &domains {
            for index in 0..instances_per_domain {
                fleet.start(&format!("{domain}-{index}"), domain);
            }
        }
        fleet.note_versions();
        fleet.advance(LAG_MS * 1_000 + 1_000_000);
        for index in 0..fleet.processes.len() {
            fleet.write_slots(index, 0);
            fleet.advance(1_000);
        }
        for index in 0..fleet.processes.len() {
            fleet.read_slots(index, 0);
        }
        fleet
    }

    /// Starts a process at an address that no other one had.
    pub fn start(&mut self, name: &str, domain: &DomainName) {
        let port = 1 + u16::try_from(self.incarnations).unwrap();
        self.start_at(([127, 0, 0, 1], port).into(), name, domain);
    }

    fn start_at(&mut self, address: SocketAddr, name: &str, domain: &DomainName) {
        self.incarnations += 1;
        let id = InstanceId::new(name, self.incarnations);
        let drift = (self.incarnations as i64 % 3 - 1) * DRIFT_PPM;
        let mut process = Process {
            table: LimitTable::new(id.clone(), domain.clone()),
            id,
            domain: domain.clone(),
            address,
            alive: true,
            asleep_until: 0,
            started: self.now,
            offset: self.incarnations * 7_777_777,
            drift,
            open: Vec::new(),
        };
        if let Some(bundle) = self.bundles.last() {
            process
                .table
                .adopt_bundle(bundle, clock(&process, self.now));
        }
        self.processes.push(process);
        let states = self.states.entry(name.to_owned()).or_default();
        if states.last().map(|(_, state)| *state) != Some(InstanceState::Live) {
            states.push((self.now, InstanceState::Live));
        }
    }

    /// Moves the time and delivers what is due, in the order of due times.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        loop {
            let mail = self.mail.iter().map(|(due, ..)| *due).min();
            let write = self.writes.iter().map(|write| write.due).min();
            let Some(due) = mail
                .into_iter()
                .chain(write)
                .min()
                .filter(|due| *due <= end)
            else {
                break;
            };
            self.now = self.now.max(due);
            if let Some(at) = self.writes.iter().position(|write| write.due == due) {
                let write = self.writes.remove(at);
                self.commit(write);
            } else if let Some(at) = self.mail.iter().position(|(at, ..)| *at == due) {
                let (_, to, message, fate) = self.mail.remove(at);
                self.deliver(to, message, fate);
            }
        }
        self.now = end;
    }

    /// Admits as much as the instance can and asks for loans for the rest.
    pub fn drain(&mut self, index: usize, organisation: &OrganisationId, tokens: u64, fate: u8) {
        let Some(index) = self.awake(index) else {
            return;
        };
        let now = self.now;
        let process = &mut self.processes[index];
        let local = clock(process, now);
        let mut size = tokens;
        while size > 0 {
            match process.table.reserve(organisation, size, local) {
                Some(reservation) => {
                    process.open.push((reservation, self.admissions.len()));
                    self.admissions.push(Admission {
                        at: now,
                        organisation: organisation.clone(),
                        amount: size * LimitShare::NANOTOKENS_PER_TOKEN,
                    });
                }
                None => size /= 2,
            }
        }
        if let LoanStep::Send(calls) = process.table.next_loan_step(organisation, tokens, local) {
            self.send(index, calls, fate);
        }
    }

    pub fn settle(&mut self, index: usize, nth: usize, used_percent: u64) {
        let Some(index) = self.awake(index) else {
            return;
        };
        let now = self.now;
        let process = &mut self.processes[index];
        if process.open.is_empty() {
            return;
        }
        let (reservation, admission) = process.open.swap_remove(nth % process.open.len());
        let used = reservation.tokens() * used_percent.min(100) / 100;
        let refund = process.table.settle(reservation, used, clock(process, now));
        self.admissions[admission].amount -= refund;
    }

    pub fn renew(&mut self, index: usize, fate: u8) {
        let Some(index) = self.awake(index) else {
            return;
        };
        let process = &mut self.processes[index];
        let local = clock(process, self.now);
        let calls = process.table.renew_loans(local);
        self.send(index, calls, fate);
    }

    pub fn sleep(&mut self, index: usize, micros: u64) {
        let index = index % self.processes.len();
        self.processes[index].asleep_until = self.now + micros;
    }

    /// Ends a process; the platform notices when `listed`.
    pub fn crash(&mut self, index: usize, listed: bool) {
        let index = index % self.processes.len();
        let process = &mut self.processes[index];
        if !process.alive {
            return;
        }
        process.alive = false;
        process.open.clear();
        let (name, domain) = (process.id.name.to_string(), process.domain.clone());
        let address = process.address;
        let id = process.id.clone();
        // The platform lists a name as gone only when no process has it.
        let last = !(self.processes.iter())
            .any(|other| other.alive && other.id.name == id.name && other.id != id);
        if listed && last {
            let states = self.states.entry(name).or_default();
            states.push((self.now, InstanceState::Gone));
            let fresh = format!("{domain}-n{}", self.incarnations);
            self.start(&fresh, &domain);
        } else {
            self.start_at(address, &name, &domain);
        }
    }

    /// Starts another instance in the domain of a process, up to five in each domain.
    pub fn join(&mut self, index: usize) {
        let domain = self.processes[index % self.processes.len()].domain.clone();
        let alive = self.processes.iter().filter(|process| process.alive);
        if alive.filter(|process| process.domain == domain).count() < 5 {
            let fresh = format!("{domain}-j{}", self.incarnations);
            self.start(&fresh, &domain);
        }
    }

    /// Starts a process under the name of another one that goes on at its own address.
    pub fn replace(&mut self, index: usize) {
        let process = &self.processes[index % self.processes.len()];
        let (name, domain) = (process.id.name.to_string(), process.domain.clone());
        if process.alive {
            self.start(&name, &domain);
        }
    }

    pub fn read_slots(&mut self, index: usize, age: usize) {
        let Some(index) = self.awake(index) else {
            return;
        };
        let stale = age
            .checked_sub(1)
            .and_then(|age| self.past.iter().rev().nth(age));
        let snapshot = stale.unwrap_or(&self.store).clone();
        let process = &mut self.processes[index];
        let local = clock(process, self.now);
        process.table.adopt_slots(snapshot, local);
    }

    /// Reads the slots, then the list, and sends the write, which takes `delay` to arrive.
    pub fn write_slots(&mut self, index: usize, delay: u64) {
        let Some(index) = self.awake(index) else {
            return;
        };
        self.read_slots(index, 0);
        let instances = self.list(
            &self.processes[index].domain.clone(),
            delay % (LAG_MS * 1_000),
        );
        let now = self.now;
        let process = &mut self.processes[index];
        let local = clock(process, now);
        let rules = SlotRules {
            instances: &instances,
            list_lag: Duration::from_millis(LAG_MS),
            address: process.address,
            uptime: Duration::from_micros(now - process.started),
        };
        if let Some(value) = process.table.plan_slots(&rules, local) {
            self.queue_write(index, value, delay);
        }
    }

    pub fn release(&mut self, index: usize, delay: u64) {
        let Some(index) = self.awake(index) else {
            return;
        };
        self.read_slots(index, 0);
        let process = &mut self.processes[index];
        let local = clock(process, self.now);
        if let SlotRelease::Write(value) = process.table.release_slots(local) {
            self.queue_write(index, value, delay);
        }
    }

    pub fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        if let Some(last) = self.bundles.last() {
            let mut next = last.clone();
            next.version += 1;
            change(&mut next);
            self.bundles.push(next);
            self.note_versions();
        }
    }

    /// Gives an instance the next version, or the newest one.
    pub fn roll_out(&mut self, index: usize, newest: bool) {
        let Some(index) = self.awake(index) else {
            return;
        };
        let process = &mut self.processes[index];
        let at = usize::try_from(process.table.version()).unwrap_or(usize::MAX);
        let bundle = if newest {
            self.bundles.last()
        } else {
            self.bundles.get(at)
        };
        if let Some(bundle) = bundle {
            process.table.adopt_bundle(bundle, clock(process, self.now));
        }
    }

    fn note_versions(&mut self) {
        let highest = self.bundles.last().map_or(0, |bundle| bundle.version);
        let lowest = std::array::from_fn(|slot| {
            let records = self.store.records(SlotIndex(slot as u8));
            records
                .map(|(_, record)| record.split)
                .min()
                .unwrap_or(highest)
        });
        self.versions.push((self.now, lowest, highest));
    }

    fn awake(&self, index: usize) -> Option<usize> {
        let index = index % self.processes.len();
        let process = &self.processes[index];
        (process.alive && process.asleep_until <= self.now).then_some(index)
    }

    fn queue_write(&mut self, index: usize, value: DomainSlots, delay: u64) {
        let domain = self.processes[index].domain.clone();
        let expected = self.revisions.get(&domain).copied().unwrap_or(0);
        self.writes.push(SlotWrite {
            due: self.now + delay,
            domain,
            expected,
            value,
        });
    }

    fn commit(&mut self, write: SlotWrite) {
        let current = self.revisions.entry(write.domain.clone()).or_default();
        if *current != write.expected {
            return;
        }
        self.past.push(self.store.clone());
        self.store.revision += 1;
        *current = self.store.revision;
        self.store.domains.insert(write.domain, write.value);
        self.note_versions();
    }

    /// Returns the platform's list as it was `lag` earlier.
    fn list(&self, domain: &DomainName, lag: u64) -> Vec<InstanceRecord> {
        let seen = self.now.saturating_sub(lag);
        let states = self.states.iter().filter_map(|(name, states)| {
            let (since, state) = states.iter().rev().find(|(since, _)| *since <= seen)?;
            let own = name.starts_with(&format!("{domain}-"));
            own.then(|| record(name, domain, *state, (seen - since) / 1_000))
        });
        states.collect()
    }

    fn send(&mut self, index: usize, calls: Vec<LoanCall>, fate: u8) {
        let process = &self.processes[index];
        let (id, domain) = (process.id.clone(), process.domain.clone());
        for (nth, call) in calls.into_iter().enumerate() {
            let message = || Message::Request(id.clone(), domain.clone(), call.request.clone());
            let own = match fate {
                FAULTLESS => fate,
                _ => fate.wrapping_add(nth as u8 * 37),
            };
            self.post(&call.lender, message, own);
        }
    }

    /// Loses, delays or duplicates a message.
    fn post(&mut self, to: &InstanceId, message: impl Fn() -> Message, fate: u8) {
        if fate == FAULTLESS {
            self.mail
                .push((self.now + 5_000, to.clone(), message(), fate));
            return;
        }
        let delay = match fate % 8 {
            0 => return,
            1 => 2_900_000,
            2 => 1_400_000,
            _ => 1_000 + u64::from(fate) * 200,
        };
        let next = fate.wrapping_mul(31).wrapping_add(11);
        self.mail
            .push((self.now + delay, to.clone(), message(), next));
        if fate.is_multiple_of(5) {
            let again = self.now + delay * 2 + 50_000;
            self.mail.push((again, to.clone(), message(), next));
        }
    }

    fn deliver(&mut self, to: InstanceId, message: Message, fate: u8) {
        let Some(process) = self.processes.iter_mut().find(|process| process.id == to) else {
            return;
        };
        if !process.alive {
            return;
        }
        if process.asleep_until > self.now {
            let due = process.asleep_until;
            self.mail.push((due, to, message, fate));
            return;
        }
        let local = clock(process, self.now);
        match message {
            Message::Request(from, domain, req) => {
                let grant = process
                    .table
                    .handle_loan_request(&from, &domain, &req, local);
                if let Some(grant) = grant {
                    self.post(&from, || Message::Grant(to.clone(), grant.clone()), fate);
                }
            }
            Message::Grant(from, grant) => {
                process.table.handle_loan_grant(&from, &grant, local);
            }
        }
    }
}

pub(super) fn clock(process: &Process, now: u64) -> MonotonicTime {
    let drift = now as i64 * process.drift / 1_000_000;
    MonotonicTime((process.offset + now).saturating_add_signed(drift))
}
