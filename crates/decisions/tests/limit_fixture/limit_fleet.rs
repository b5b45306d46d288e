//! Simulated fleet that records every admission, with message loss, pauses and crashes.
//!
//! Times and delays are in microseconds.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    Bundle, DomainName, DomainSlots, InstanceId, InstanceRecord, InstanceState, LimitReservation,
    LimitShare, LimitTable, LoanCall, LoanGrant, LoanRequest, LoanStep, MonotonicTime,
    OrganisationId, SlotIndex, SlotRelease, SlotRules, SlotSnapshot,
};

use super::record;

/// Drift of the fastest clock in parts per million; the slowest one has the negative drift.
pub const DRIFT_PPM: i64 = 100;
/// Fault seed with which a message arrives exactly once, after 5 ms.
pub const NO_FAULT: u8 = 255;
const LIST_LAG_MS: u64 = 500;

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
    pub(super) paused_until_us: u64,
    pub(super) started_us: u64,
    pub(super) clock_offset_us: u64,
    pub(super) drift_ppm: i64,
    /// Reservations that are not settled, each with the index of its admission.
    pub(super) open_reservations: Vec<(LimitReservation, usize)>,
}

pub(super) struct Admission {
    pub(super) at_us: u64,
    pub(super) organisation: OrganisationId,
    pub(super) nanotokens: u64,
}

/// Compare-and-swap that has been sent to the store and not yet arrived.
struct SlotWrite {
    due_us: u64,
    domain: DomainName,
    expected: u64,
    value: DomainSlots,
}

pub struct Fleet {
    pub now_us: u64,
    pub(super) processes: Vec<Process>,
    /// Messages in transit: time of arrival, recipient, message and fault seed of the answer.
    messages: Vec<(u64, InstanceId, Message, u8)>,
    writes: Vec<SlotWrite>,
    pub(super) bundles: Vec<Bundle>,
    pub(super) stored_slots: SlotSnapshot,
    revisions: BTreeMap<DomainName, u64>,
    past_snapshots: Vec<SlotSnapshot>,
    listed_states: BTreeMap<String, Vec<(u64, InstanceState)>>,
    pub(super) admissions: Vec<Admission>,
    /// Bundle versions that may be in use from a time on: the time, the lowest version by slot, and
    /// the highest version.
    pub(super) versions: Vec<(u64, [u64; SlotIndex::COUNT as usize], u64)>,
    incarnations: u64,
}

impl Fleet {
    pub fn new(bundle: Bundle, instances_per_domain: usize) -> Self {
        let mut domains: Vec<DomainName> = bundle.domains.keys().cloned().collect();
        domains.sort();
        let mut fleet = Self {
            now_us: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            writes: Vec::new(),
            bundles: vec![bundle],
            stored_slots: SlotSnapshot::default(),
            revisions: BTreeMap::new(),
            past_snapshots: Vec::new(),
            listed_states: BTreeMap::new(),
            admissions: Vec::new(),
            versions: Vec::new(),
            incarnations: 0,
        };
        for domain in &domains {
            for index in 0..instances_per_domain {
                fleet.start(&format!("{domain}-{index}"), domain);
            }
        }
        fleet.record_versions();
        fleet.advance(LIST_LAG_MS * 1_000 + 1_000_000);
        for index in 0..fleet.processes.len() {
            fleet.write_slots(index, 0);
            fleet.advance(1_000);
        }
        for index in 0..fleet.processes.len() {
            fleet.read_slots(index, 0);
        }
        fleet
    }

    /// Starts a process at an address that no other process had.
    pub fn start(&mut self, name: &str, domain: &DomainName) {
        let port = 1 + u16::try_from(self.incarnations).unwrap();
        self.start_at(([127, 0, 0, 1], port).into(), name, domain);
    }

    fn start_at(&mut self, address: SocketAddr, name: &str, domain: &DomainName) {
        self.incarnations += 1;
        let id = InstanceId::new(name, self.incarnations);
        let drift_ppm = (self.incarnations as i64 % 3 - 1) * DRIFT_PPM;
        let mut process = Process {
            table: LimitTable::new(id.clone(), domain.clone()),
            id,
            domain: domain.clone(),
            address,
            alive: true,
            paused_until_us: 0,
            started_us: self.now_us,
            clock_offset_us: self.incarnations * 7_777_777,
            drift_ppm,
            open_reservations: Vec::new(),
        };
        if let Some(bundle) = self.bundles.last() {
            process
                .table
                .adopt_bundle(bundle, local_time(&process, self.now_us));
        }
        self.processes.push(process);
        let states = self.listed_states.entry(name.to_owned()).or_default();
        if states.last().map(|(_, state)| *state) != Some(InstanceState::Live) {
            states.push((self.now_us, InstanceState::Live));
        }
    }

    /// Advances the time and delivers messages and writes in the order of their arrival times.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now_us + micros;
        loop {
            let message = self.messages.iter().map(|(due_us, ..)| *due_us).min();
            let write = self.writes.iter().map(|write| write.due_us).min();
            let Some(due_us) = message
                .into_iter()
                .chain(write)
                .min()
                .filter(|due_us| *due_us <= end)
            else {
                break;
            };
            self.now_us = self.now_us.max(due_us);
            if let Some(at) = self.writes.iter().position(|write| write.due_us == due_us) {
                let write = self.writes.remove(at);
                self.apply_write(write);
            } else if let Some(at) = self.messages.iter().position(|(at, ..)| *at == due_us) {
                let (_, to, message, fault_seed) = self.messages.remove(at);
                self.deliver(to, message, fault_seed);
            }
        }
        self.now_us = end;
    }

    /// Reserves as many tokens as the instance has, up to `tokens`, then sends loan requests.
    pub fn admit_and_borrow(
        &mut self,
        index: usize,
        organisation: &OrganisationId,
        tokens: u64,
        fault_seed: u8,
    ) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        let now = self.now_us;
        let process = &mut self.processes[index];
        let local = local_time(process, now);
        let mut size = tokens;
        while size > 0 {
            match process.table.reserve(organisation, size, local) {
                Some(reservation) => {
                    process
                        .open_reservations
                        .push((reservation, self.admissions.len()));
                    self.admissions.push(Admission {
                        at_us: now,
                        organisation: organisation.clone(),
                        nanotokens: size * LimitShare::NANOTOKENS_PER_TOKEN,
                    });
                }
                None => size /= 2,
            }
        }
        if let LoanStep::Send(calls) = process.table.next_loan_step(organisation, tokens, local) {
            self.send_loan_requests(index, calls, fault_seed);
        }
    }

    /// Settles one of an instance's open reservations, with `used_percent` of its tokens used.
    pub fn settle(&mut self, index: usize, choice: usize, used_percent: u64) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        let now = self.now_us;
        let process = &mut self.processes[index];
        if process.open_reservations.is_empty() {
            return;
        }
        let (reservation, admission) = process
            .open_reservations
            .swap_remove(choice % process.open_reservations.len());
        let used = reservation.tokens() * used_percent.min(100) / 100;
        let refund = process
            .table
            .settle(reservation, used, local_time(process, now));
        self.admissions[admission].nanotokens -= refund;
    }

    pub fn renew_loans(&mut self, index: usize, fault_seed: u8) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        let process = &mut self.processes[index];
        let local = local_time(process, self.now_us);
        let calls = process.table.renew_loans(local);
        self.send_loan_requests(index, calls, fault_seed);
    }

    /// Pauses a process: until it continues, it does nothing, and messages to it are kept.
    pub fn pause(&mut self, index: usize, micros: u64) {
        let index = index % self.processes.len();
        self.processes[index].paused_until_us = self.now_us + micros;
    }

    /// Ends a process and starts a replacement.
    ///
    /// If `listed`, the platform lists the process as gone and the replacement has a new name.
    /// Otherwise, the process restarts with its name and address before the platform lists it.
    pub fn crash(&mut self, index: usize, listed: bool) {
        let index = index % self.processes.len();
        let process = &mut self.processes[index];
        if !process.alive {
            return;
        }
        process.alive = false;
        process.open_reservations.clear();
        let (name, domain) = (process.id.name.to_string(), process.domain.clone());
        let address = process.address;
        let id = process.id.clone();
        // The platform lists a name as gone only when no process with it runs.
        let last = !(self.processes.iter())
            .any(|other| other.alive && other.id.name == id.name && other.id != id);
        if listed && last {
            let states = self.listed_states.entry(name).or_default();
            states.push((self.now_us, InstanceState::Gone));
            let new_name = format!("{domain}-n{}", self.incarnations);
            self.start(&new_name, &domain);
        } else {
            self.start_at(address, &name, &domain);
        }
    }

    /// Starts another instance in the failure domain of a process, up to five in each domain.
    pub fn add_instance(&mut self, index: usize) {
        let domain = self.processes[index % self.processes.len()].domain.clone();
        let alive = self.processes.iter().filter(|process| process.alive);
        if alive.filter(|process| process.domain == domain).count() < 5 {
            let new_name = format!("{domain}-j{}", self.incarnations);
            self.start(&new_name, &domain);
        }
    }

    /// Starts a second process with the name of a process that keeps running at its own address.
    pub fn start_same_name(&mut self, index: usize) {
        let process = &self.processes[index % self.processes.len()];
        let (name, domain) = (process.id.name.to_string(), process.domain.clone());
        if process.alive {
            self.start(&name, &domain);
        }
    }

    /// Gives an instance the current slots of the store, or those of `age` writes ago.
    pub fn read_slots(&mut self, index: usize, age: usize) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        let stale = age
            .checked_sub(1)
            .and_then(|age| self.past_snapshots.iter().rev().nth(age));
        let snapshot = stale.unwrap_or(&self.stored_slots).clone();
        let process = &mut self.processes[index];
        let local = local_time(process, self.now_us);
        process.table.adopt_slots(snapshot, local);
    }

    /// Reads the slots, then the platform's list, and sends a planned write.
    ///
    /// The write arrives after `delay_us`; the list is out of date by up to the same time.
    pub fn write_slots(&mut self, index: usize, delay_us: u64) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        self.read_slots(index, 0);
        let instances = self.platform_list(
            &self.processes[index].domain.clone(),
            delay_us % (LIST_LAG_MS * 1_000),
        );
        let now = self.now_us;
        let process = &mut self.processes[index];
        let local = local_time(process, now);
        let rules = SlotRules {
            instances: &instances,
            list_lag: Duration::from_millis(LIST_LAG_MS),
            address: process.address,
            uptime: Duration::from_micros(now - process.started_us),
        };
        if let Some(value) = process.table.plan_slots(&rules, local) {
            self.queue_write(index, value, delay_us);
        }
    }

    pub fn release_slots(&mut self, index: usize, delay_us: u64) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        self.read_slots(index, 0);
        let process = &mut self.processes[index];
        let local = local_time(process, self.now_us);
        if let SlotRelease::Write(value) = process.table.release_slots(local) {
            self.queue_write(index, value, delay_us);
        }
    }

    /// Creates the next bundle version, which instances get by [`Self::deliver_bundle`].
    pub fn publish(&mut self, change: impl FnOnce(&mut Bundle)) {
        if let Some(last) = self.bundles.last() {
            let mut next = last.clone();
            next.version += 1;
            change(&mut next);
            self.bundles.push(next);
            self.record_versions();
        }
    }

    /// Gives an instance the next bundle version, or the newest one.
    pub fn deliver_bundle(&mut self, index: usize, newest: bool) {
        let Some(index) = self.running_index(index) else {
            return;
        };
        let process = &mut self.processes[index];
        let next = usize::try_from(process.table.version()).unwrap_or(usize::MAX);
        let bundle = if newest {
            self.bundles.last()
        } else {
            self.bundles.get(next)
        };
        if let Some(bundle) = bundle {
            process
                .table
                .adopt_bundle(bundle, local_time(process, self.now_us));
        }
    }

    /// Records the bundle versions that may be in use from now on.
    fn record_versions(&mut self) {
        let highest = self.bundles.last().map_or(0, |bundle| bundle.version);
        let lowest = std::array::from_fn(|slot| {
            let records = self.stored_slots.records(SlotIndex(slot as u8));
            records
                .map(|(_, record)| record.split)
                .min()
                .unwrap_or(highest)
        });
        self.versions.push((self.now_us, lowest, highest));
    }

    /// Returns the index of the process, unless it has ended or is paused.
    fn running_index(&self, index: usize) -> Option<usize> {
        let index = index % self.processes.len();
        let process = &self.processes[index];
        (process.alive && process.paused_until_us <= self.now_us).then_some(index)
    }

    fn queue_write(&mut self, index: usize, value: DomainSlots, delay_us: u64) {
        let domain = self.processes[index].domain.clone();
        let expected = self.revisions.get(&domain).copied().unwrap_or(0);
        self.writes.push(SlotWrite {
            due_us: self.now_us + delay_us,
            domain,
            expected,
            value,
        });
    }

    /// Applies a write if the entry still has the expected revision.
    fn apply_write(&mut self, write: SlotWrite) {
        let current = self.revisions.entry(write.domain.clone()).or_default();
        if *current != write.expected {
            return;
        }
        self.past_snapshots.push(self.stored_slots.clone());
        self.stored_slots.revision.revision += 1;
        *current = self.stored_slots.revision.revision;
        self.stored_slots.domains.insert(write.domain, write.value);
        self.record_versions();
    }

    /// Returns the platform's list as of `lag_us` earlier.
    fn platform_list(&self, domain: &DomainName, lag_us: u64) -> Vec<InstanceRecord> {
        let seen_us = self.now_us.saturating_sub(lag_us);
        let states = self.listed_states.iter().filter_map(|(name, states)| {
            let (since, state) = states.iter().rev().find(|(since, _)| *since <= seen_us)?;
            let in_domain = name.starts_with(&format!("{domain}-"));
            in_domain.then(|| record(name, domain, *state, (seen_us - since) / 1_000))
        });
        states.collect()
    }

    fn send_loan_requests(&mut self, index: usize, calls: Vec<LoanCall>, fault_seed: u8) {
        let process = &self.processes[index];
        let (id, domain) = (process.id.clone(), process.domain.clone());
        for (nth, call) in calls.into_iter().enumerate() {
            let message = || Message::Request(id.clone(), domain.clone(), call.request.clone());
            let message_seed = match fault_seed {
                NO_FAULT => fault_seed,
                _ => fault_seed.wrapping_add(nth as u8 * 37),
            };
            self.send_message(&call.lender, message, message_seed);
        }
    }

    /// Sends a message, which is lost, delayed or duplicated according to the fault seed.
    fn send_message(&mut self, to: &InstanceId, message: impl Fn() -> Message, fault_seed: u8) {
        if fault_seed == NO_FAULT {
            self.messages
                .push((self.now_us + 5_000, to.clone(), message(), fault_seed));
            return;
        }
        let delay_us = match fault_seed % 8 {
            0 => return,
            1 => 2_900_000,
            2 => 1_400_000,
            _ => 1_000 + u64::from(fault_seed) * 200,
        };
        let next_seed = fault_seed.wrapping_mul(31).wrapping_add(11);
        self.messages
            .push((self.now_us + delay_us, to.clone(), message(), next_seed));
        if fault_seed.is_multiple_of(5) {
            let again = self.now_us + delay_us * 2 + 50_000;
            self.messages
                .push((again, to.clone(), message(), next_seed));
        }
    }

    fn deliver(&mut self, to: InstanceId, message: Message, fault_seed: u8) {
        let Some(process) = self.processes.iter_mut().find(|process| process.id == to) else {
            return;
        };
        if !process.alive {
            return;
        }
        if process.paused_until_us > self.now_us {
            let due_us = process.paused_until_us;
            self.messages.push((due_us, to, message, fault_seed));
            return;
        }
        let local = local_time(process, self.now_us);
        match message {
            Message::Request(from, domain, req) => {
                let grant = process
                    .table
                    .handle_loan_request(&from, &domain, &req, local);
                if let Some(grant) = grant {
                    self.send_message(
                        &from,
                        || Message::Grant(to.clone(), grant.clone()),
                        fault_seed,
                    );
                }
            }
            Message::Grant(from, grant) => {
                process.table.handle_loan_grant(&from, &grant, local);
            }
        }
    }
}

/// Returns the reading of a process's clock, which has an offset and a drift.
pub(super) fn local_time(process: &Process, now_us: u64) -> MonotonicTime {
    let drift_us = now_us as i64 * process.drift_ppm / 1_000_000;
    MonotonicTime((process.clock_offset_us + now_us).saturating_add_signed(drift_us))
}
