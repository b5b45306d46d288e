//! Simulated fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use hawthornquay_decisions::{
    AnswerStage, BackendName, EvidenceScope, MonotonicTime, PartId, PartQuarantine, PartVerdict,
    QuarantineChange, QuarantineUpdate,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    outcome::Outcome,
    scenario::{CALLER, Crashing, Scenario},
    server::{Request, Server},
};

const ROUND_MS: u64 = 300;
const MAX_ATTEMPTS: usize = 2;

#[derive(Debug)]
enum Event {
    Arrival,
    Send(Request),
    Begin(usize, usize, u64),
    Stage(usize, usize, u64, AnswerStage),
    CrashAfterBegin(usize, usize),
    End(usize, usize, u64),
    Up(usize),
    Kill(usize),
    Stop(usize),
    Leave(usize),
    Confirmed(usize, usize, usize, Vec<PartId>, AnswerStage),
    Round(usize),
    Update(usize, QuarantineUpdate),
}

/// Simulated fleet.
pub struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    instances: Vec<PartQuarantine>,
    offsets: Vec<i64>,
    servers: Vec<Server>,
    crashing: BTreeSet<PartId>,
    outcome: Outcome,
    last_crash: u64,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let offsets = (0..scenario.instances)
            .map(|_| rng.random_range(1_000_000..9_000_000))
            .collect();
        let servers = (0..scenario.servers)
            .map(|index| Server {
                region: index % scenario.regions,
                is_up: true,
                ..Server::default()
            })
            .collect();
        let crashing = (0..scenario.crashing.len())
            .map(|index| scenario.crashing_part(index))
            .collect();
        let mut fleet = Self {
            rng,
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            instances: vec![PartQuarantine::default(); scenario.instances],
            offsets,
            servers,
            crashing,
            outcome: Outcome::default(),
            last_crash: 0,
            scenario,
        };
        fleet.schedule(0, Event::Arrival);
        for index in 0..fleet.scenario.instances {
            let delay = fleet.rng.random_range(0..ROUND_MS);
            fleet.schedule(delay, Event::Round(index));
        }
        for (at, server) in fleet.scenario.kills.clone() {
            fleet.schedule(at, Event::Kill(server));
        }
        for (at, server) in fleet.scenario.stops.clone() {
            fleet.schedule(at, Event::Leave(server));
        }
        fleet
    }

    pub fn play(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.scenario.until {
                break;
            }
            self.now = at;
            let event = self.pending.remove(&number).unwrap();
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + delay, self.number)));
        self.pending.insert(self.number, event);
    }

    fn clock(&self, instance: usize) -> MonotonicTime {
        MonotonicTime::from_millis(self.now.saturating_add_signed(self.offsets[instance]))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1e3;
                self.schedule((gap / self.scenario.requests_per_s) as u64, Event::Arrival);
                let request = self.request();
                let is_caller = request.parts[0] == CALLER;
                if is_caller && !request.crashing && self.scenario.pause.contains(&self.now) {
                    return;
                }
                if !request.crashing {
                    self.outcome.healthy_arrived.push(self.now);
                    if is_caller {
                        self.outcome.caller_arrived.push(self.now);
                    }
                }
                self.send(request);
            }
            Event::Send(request) => self.send(request),
            Event::Begin(server, start, id) => self.begin(server, start, id),
            Event::Stage(server, start, id, stage) => self.reach(server, start, id, stage),
            Event::CrashAfterBegin(server, start) => {
                if self.servers[server].starts == start {
                    self.crash(server);
                }
            }
            Event::End(server, start, id) => {
                self.reach(server, start, id, AnswerStage::Established);
                self.servers[server].running.remove(&id);
            }
            Event::Up(server) => {
                let server = &mut self.servers[server];
                server.starts += 1;
                server.is_up = true;
                server.is_leaving = false;
                server.free_at = self.now;
            }
            Event::Kill(server) => self.crash(server),
            Event::Leave(server) => {
                self.servers[server].is_leaving = true;
                self.schedule(2_000, Event::Stop(server));
            }
            Event::Stop(server) => self.crash(server),
            Event::Confirmed(instance, server, start, parts, cleared_by) => {
                let now = self.clock(instance);
                let name = BackendName::new(&format!("s{server}-{start}"));
                let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16));
                self.instances[instance].record_crash(now, &name, address, &parts, cleared_by);
                self.evaluate(instance);
            }
            Event::Round(instance) => {
                self.schedule(ROUND_MS, Event::Round(instance));
                if self.has_started(instance) {
                    self.evaluate(instance);
                    self.exchange(instance);
                }
            }
            Event::Update(instance, update) => {
                if self.has_started(instance) {
                    let now = self.clock(instance);
                    self.instances[instance].apply_update(now, &update);
                    self.evaluate(instance);
                }
            }
        }
    }

    fn has_started(&self, instance: usize) -> bool {
        self.scenario
            .late_instance
            .is_none_or(|(at, late)| late != instance || self.now >= at)
    }

    fn request(&mut self) -> Request {
        let instance = loop {
            let instance = self.rng.random_range(0..self.scenario.instances);
            if self.has_started(instance) {
                break instance;
            }
        };
        let mut first = PartId(1 + self.rng.random_range(0..self.scenario.first_parts));
        // Some subjects are asked for much more often than others.
        let skewed = self.rng.random::<f64>().powi(2) * self.scenario.subjects as f64;
        let mut subject = PartId(1_000 + skewed as u64);
        if self.now >= self.scenario.crashing_from && self.rng.random_bool(self.scenario.share) {
            let index = self.rng.random_range(0..self.scenario.crashing.len());
            let part = self.scenario.crashing_part(index);
            match self.scenario.crashing[index] {
                Crashing::NewSubject | Crashing::KnownSubject => subject = part,
                Crashing::SubjectOfOneFirstPart => (first, subject) = (CALLER, part),
                Crashing::NewFirstPart | Crashing::KnownFirstPart => first = part,
            }
        }
        let mut parts = vec![first];
        if first == CALLER {
            parts.extend((0..self.scenario.caller_parts).map(|index| PartId(700_000 + index)));
        }
        parts.push(subject);
        let crashing = self.now >= self.scenario.crashing_from
            && parts.iter().any(|part| self.crashing.contains(part));
        Request {
            parts,
            crashing,
            arrived: self.now,
            attempts: 0,
            tried: Vec::new(),
            instance,
            is_trial: false,
        }
    }

    /// Returns whether an instance sends a request to a server, as far as its parts matter.
    fn admits(&mut self, instance: usize, request: &mut Request) -> bool {
        let now = self.clock(instance);
        let quarantine = &mut self.instances[instance];
        match quarantine.verdict(now, &request.parts) {
            PartVerdict::Accepted => true,
            PartVerdict::Refused { .. } => false,
            PartVerdict::Trial { .. } => {
                request.is_trial =
                    request.attempts == 0 && quarantine.begin_trial(now, &request.parts);
                request.is_trial
            }
        }
    }

    /// Sends a request to a server of the region, or of another one if none is up there.
    fn send(&mut self, mut request: Request) {
        let is_tried = request.is_trial && request.attempts > 0;
        if request.attempts == MAX_ATTEMPTS
            || is_tried
            || !self.admits(request.instance, &mut request)
        {
            return;
        }
        let region = request.instance % self.scenario.regions;
        let mut open: Vec<usize> = (0..self.servers.len())
            .filter(|&index| {
                let server = &self.servers[index];
                server.is_up && !server.is_leaving && !request.tried.contains(&index)
            })
            .collect();
        if open
            .iter()
            .any(|&index| self.servers[index].region == region)
        {
            open.retain(|&index| self.servers[index].region == region);
        }
        if open.is_empty() {
            return;
        }
        let mut pick = || open[self.rng.random_range(0..open.len())];
        let (a, b) = (pick(), pick());
        let load = |index: usize| self.servers[index].waiting.len();
        let index = if load(a) <= load(b) { a } else { b };
        // A request that is forwarded is sent to the server by an instance of its region.
        let server_region = self.servers[index].region;
        if server_region != region {
            let count = self.scenario.instances / self.scenario.regions;
            request.instance =
                self.rng.random_range(0..count) * self.scenario.regions + server_region;
            if !self.has_started(request.instance) || !self.admits(request.instance, &mut request) {
                return;
            }
        }
        request.attempts += 1;
        request.tried.push(index);
        if request.crashing {
            for &part in request
                .parts
                .iter()
                .filter(|part| self.crashing.contains(part))
            {
                let sent = self.outcome.crashing_sent.entry(part).or_default();
                sent.push(self.now);
            }
        }
        let prefill = self.rng.random_range(self.scenario.prefill.clone());
        let server = &mut self.servers[index];
        server.free_at = server.free_at.max(self.now) + prefill;
        let (start, delay) = (server.starts, server.free_at - self.now);
        self.number += 1;
        let id = self.number;
        self.servers[index].waiting.insert(id, request);
        self.schedule(delay, Event::Begin(index, start, id));
    }

    fn begin(&mut self, index: usize, start: usize, id: u64) {
        let server = &mut self.servers[index];
        if !server.is_up || server.starts != start {
            return;
        }
        let parts = server.waiting[&id].parts.clone();
        let cause = parts.iter().find(|part| self.crashing.contains(part));
        let cause = cause.filter(|_| self.now >= self.scenario.crashing_from);
        let is_cause = cause.is_some();
        if let Some(&part) = cause {
            self.outcome.crashes.entry(part).or_default().push(self.now);
            let Some(delay) = self.scenario.crash_after.clone() else {
                self.crash(index);
                return;
            };
            let delay = self.rng.random_range(delay);
            self.schedule(delay, Event::CrashAfterBegin(index, start));
        }
        let request = self.servers[index].waiting.remove(&id).unwrap();
        if request.attempts == 1 && !is_cause {
            self.outcome.healthy_begun.push(request.arrived);
            if request.parts[0] == CALLER {
                self.outcome.caller_begun.push(request.arrived);
            }
        }
        self.servers[index].running.insert(id, (self.now, request));
        self.reach(index, start, id, AnswerStage::Begun);
        for (ms, stage) in [
            (200, AnswerStage::Continued),
            (500, AnswerStage::Running),
            (1_500, AnswerStage::Established),
        ] {
            assert_eq!(AnswerStage::after(Duration::from_millis(ms)), stage);
            self.schedule(ms, Event::Stage(index, start, id, stage));
        }
        if !is_cause {
            let length = self.rng.random_range(500..3_000);
            self.schedule(length, Event::End(index, start, id));
        }
    }

    /// Records that an answer has reached a stage, unless it has ended or its server has crashed.
    fn reach(&mut self, index: usize, start: usize, id: u64, stage: AnswerStage) {
        let server = &self.servers[index];
        if !server.is_up || server.starts != start {
            return;
        }
        if let Some((began, request)) = server.running.get(&id) {
            let now = self.clock(request.instance);
            let began_at = MonotonicTime(now.0 - (self.now - began) * 1_000);
            self.instances[request.instance].record_answer(now, began_at, stage, &request.parts);
        }
    }

    fn crash(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        let was_planned = server.is_leaving;
        let start = server.starts;
        let waiting = std::mem::take(&mut server.waiting);
        let running = std::mem::take(&mut server.running);
        let down = self.rng.random_range(self.scenario.down.clone());
        self.schedule(down, Event::Up(index));
        if !was_planned {
            self.last_crash = self.now;
        }
        for request in waiting.into_values() {
            if !was_planned {
                let delay = self.rng.random_range(1..60);
                let cleared_by = AnswerStage::Begun;
                let parts = request.parts.clone();
                let event = Event::Confirmed(request.instance, index, start, parts, cleared_by);
                self.schedule(delay, event);
            }
            let delay = self.rng.random_range(1..20);
            self.schedule(delay, Event::Send(request));
        }
        for (began, request) in running.into_values() {
            let time = Duration::from_millis(self.now - began);
            if !was_planned && let Some(cleared_by) = AnswerStage::to_clear(Some(time)) {
                let delay = self.rng.random_range(1..60);
                let parts = request.parts.clone();
                let event = Event::Confirmed(request.instance, index, start, parts, cleared_by);
                self.schedule(delay, event);
            }
            let delay = self.rng.random_range(1..20);
            self.schedule(delay, Event::Send(request));
        }
    }

    fn evaluate(&mut self, instance: usize) {
        let now = self.clock(instance);
        for change in self.instances[instance].evaluate(now) {
            match change {
                QuarantineChange::Quarantined { part, .. } => {
                    let seen = if self.crashing.contains(&part) {
                        &mut self.outcome.crashing_quarantined
                    } else {
                        &mut self.outcome.healthy_quarantined
                    };
                    seen.entry(part).or_insert(self.now);
                }
                QuarantineChange::Released(part) if self.crashing.contains(&part) => {
                    self.outcome.crashing_released += 1;
                }
                QuarantineChange::Released(_) => {}
            }
        }
    }

    /// Sends the update of an instance: to the leader of its region, or from it to all.
    fn exchange(&mut self, instance: usize) {
        let regions = self.scenario.regions;
        let is_leader = instance < regions;
        let scope = if is_leader {
            EvidenceScope::All
        } else {
            EvidenceScope::Local
        };
        let update = self.instances[instance].update(self.clock(instance), scope);
        let entries = update.crashes.len() + update.starts.len();
        if self.now > self.last_crash + 10_000 {
            self.outcome.late_entries += entries;
        }
        if update.is_empty() {
            return;
        }
        let receivers: Vec<usize> = if is_leader {
            (0..self.scenario.instances)
                .filter(|&other| {
                    other != instance && (other < regions || other % regions == instance)
                })
                .collect()
        } else {
            vec![instance % regions]
        };
        for other in receivers {
            let crosses = other % regions != instance % regions;
            if self.rng.random_bool(self.scenario.loss)
                || crosses && self.scenario.cut.contains(&self.now)
            {
                continue;
            }
            let transit = if crosses {
                self.rng.random_range(25..60)
            } else {
                self.rng.random_range(1..6)
            };
            let error = self
                .rng
                .random_range(-self.scenario.clock_error..=self.scenario.clock_error);
            let shift = self.offsets[other] - self.offsets[instance] + error;
            let convert =
                |at: MonotonicTime| MonotonicTime(at.0.saturating_add_signed(shift * 1_000));
            let mut update = update.clone();
            for crash in &mut update.crashes {
                crash.at = convert(crash.at);
            }
            for start in &mut update.starts {
                start.at = convert(start.at);
            }
            for quarantined in &mut update.quarantined {
                quarantined.first_crash_at = convert(quarantined.first_crash_at);
                quarantined.since = convert(quarantined.since);
            }
            self.schedule(transit, Event::Update(other, update));
        }
    }
}
