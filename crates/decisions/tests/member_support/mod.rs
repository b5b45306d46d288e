//! Simulated fleet whose members exchange digests and read a lagging instance list.
#![allow(dead_code, missing_docs)]

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    GossipEntry, GossipLoad, GossipPartners, GossipSettings, Incarnation, InstanceId, InstanceName,
    InstanceRecord, InstanceState, MemberState, MemberTable, MonotonicTime, Set,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time after which the instance list shows a change, in seconds.
pub const INSTANCE_LIST_LAG_S: u64 = 5;

pub fn record(index: usize, domains: usize, regions: usize) -> InstanceRecord {
    let domain = index % domains;
    let address = |port: usize| SocketAddr::from(([10, 0, 0, 1], (port + index) as u16));
    InstanceRecord {
        name: format!("entry-{index:03}").into(),
        region: format!("region-{}", domain % regions).into(),
        domain: format!("domain-{domain}").into(),
        callers: address(1_000),
        peers: address(11_000),
        operators: address(21_000),
        state: InstanceState::Live,
        state_age_ms: 0,
    }
}

pub fn seconds(s: u64) -> MonotonicTime {
    MonotonicTime::from_millis(s * 1_000)
}

pub fn table(index: usize) -> MemberTable {
    let record = record(index, 2, 1);
    MemberTable::new(record, Incarnation(1), GossipSettings::default())
}

pub fn entry(index: usize, incarnation: u64, heartbeat: u64) -> GossipEntry {
    let name = record(index, 1, 1).name;
    GossipEntry {
        heartbeat,
        ..GossipEntry::new(InstanceId::new(name.as_str(), incarnation))
    }
}

/// Returns approximately the encoded size of an entry, in bytes.
///
/// The tests of the instances package use the size of the encoded messages instead.
pub fn approximate_encoded_len(entry: &GossipEntry) -> usize {
    23 + entry.id.name.as_str().len() + 28 * entry.loads.len()
}

pub struct Node {
    pub table: MemberTable,
    partners: GossipPartners,
    pub running: bool,
    pub incarnation: u64,
    /// Time of the last start or crash, in seconds; the instance list shows it later.
    changed_at_s: u64,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub records: Vec<InstanceRecord>,
    /// Simulated time, in seconds.
    pub now_s: u64,
    pub loss_percent: u32,
    /// Index of a domain that is cut off: no message enters or leaves it.
    pub isolated_domain: Option<usize>,
    /// Index of the sender, and size in bytes, of each digest.
    pub digests_sent: Vec<(usize, usize)>,
    /// Number of partners chosen that were not partners in the round before.
    pub partner_changes: usize,
    last_partners: Vec<Set<InstanceName>>,
    domains: usize,
    regions: usize,
    rng: StdRng,
}

impl Fleet {
    pub fn new(count: usize, domains: usize, regions: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            records: Vec::new(),
            now_s: 1,
            loss_percent: 0,
            isolated_domain: None,
            digests_sent: Vec::new(),
            partner_changes: 0,
            last_partners: Vec::new(),
            domains,
            regions,
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..count {
            fleet.join();
        }
        fleet.publish_instance_list();
        fleet
    }

    pub fn now(&self) -> MonotonicTime {
        seconds(self.now_s)
    }

    pub fn join(&mut self) {
        let index = self.nodes.len();
        let record = record(index, self.domains, self.regions);
        let incarnation = self.rng.random();
        let node = self.start(record.clone(), incarnation);
        self.nodes.push(node);
        self.records.push(record);
        self.last_partners.push(Set::default());
    }

    /// Ends a process without a leaving state.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].running = false;
        self.nodes[index].changed_at_s = self.now_s;
    }

    /// Starts a new incarnation with the name and address of a node.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.rng.random();
        self.nodes[index] = self.start(self.records[index].clone(), incarnation);
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].table.own_entry_mut().leaving = true;
    }

    pub fn set_loads(&mut self, index: usize, count: usize) {
        let loads = (0..count).map(|n| GossipLoad {
            backend: format!("engine-{index:03}-{n}").into(),
            running: 96,
            waiting: 40,
            slots: 128,
            sequence: 100_000,
            leaving: false,
        });
        self.nodes[index].table.own_entry_mut().loads = loads.collect();
    }

    fn start(&self, record: InstanceRecord, incarnation: u64) -> Node {
        let settings = GossipSettings::default();
        let mut table = MemberTable::new(record, Incarnation(incarnation), settings);
        table.apply_instance_list(self.now(), &self.records);
        Node {
            table,
            partners: GossipPartners::new(settings, self.now()),
            running: true,
            incarnation,
            changed_at_s: self.now_s,
        }
    }

    /// Publishes the instance list to all nodes, with the changes that are older than the lag.
    ///
    /// A crashed process is listed as gone.
    pub fn publish_instance_list(&mut self) {
        for (node, record) in self.nodes.iter().zip(&mut self.records) {
            let age = self.now_s - node.changed_at_s;
            if !node.running && age >= INSTANCE_LIST_LAG_S {
                record.state = InstanceState::Gone;
                record.state_age_ms = age * 1_000;
            } else if node.running && age >= INSTANCE_LIST_LAG_S {
                record.state = InstanceState::Live;
            }
        }
        for node in &mut self.nodes {
            node.table
                .apply_instance_list(seconds(self.now_s), &self.records);
        }
    }

    pub fn step(&mut self, encoded_len: impl Fn(&GossipEntry) -> usize + Copy) {
        self.now_s += 1;
        let now = self.now();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].running {
                continue;
            }
            // A server that reports each second increments the sequence number in each report.
            for load in &mut self.nodes[index].table.own_entry_mut().loads {
                load.sequence += 1;
            }
            self.nodes[index].table.increment_heartbeat();
            let rng = &mut self.rng;
            let node = &mut self.nodes[index];
            let chosen = node.partners.choose(now, &node.table, || rng.random());
            let chosen_set: Set<_> = chosen.iter().cloned().collect();
            self.partner_changes += chosen_set.difference(&self.last_partners[index]).count();
            self.last_partners[index] = chosen_set;
            for partner in chosen {
                let entries = self.nodes[index].table.digest(now, &partner, encoded_len);
                let len = entries.iter().map(encoded_len).sum();
                self.digests_sent.push((index, len));
                self.deliver(index, &partner, &entries);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: &InstanceName, entries: &[GossipEntry]) {
        let to: usize = to.as_str().rsplit('-').next().unwrap().parse().unwrap();
        let isolated = self
            .isolated_domain
            .is_some_and(|domain| (from % self.domains == domain) != (to % self.domains == domain));
        let lost = isolated || self.rng.random_ratio(self.loss_percent, 100);
        if lost || !self.nodes[to].running {
            return;
        }
        let name = self.records[from].name.as_str();
        let id = InstanceId::new(name, self.nodes[from].incarnation);
        let now = self.now();
        self.nodes[to].table.apply_digest(now, &id, entries);
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(approximate_encoded_len);
            self.publish_instance_list();
        }
    }

    pub fn state(&self, viewer: usize, of: usize) -> Option<MemberState> {
        let name = &self.records[of].name;
        self.nodes[viewer].table.state(name, self.now())
    }

    /// Returns the first difference between the view of a running node and the actual state.
    pub fn first_difference(&self) -> Option<String> {
        for viewer in (0..self.nodes.len()).filter(|&n| self.nodes[n].running) {
            for (of, node) in self.nodes.iter().enumerate() {
                let state = self.state(viewer, of);
                let expected = match node.running {
                    false => MemberState::Gone,
                    true if self.is_leaving(of) => MemberState::Leaving,
                    true => MemberState::Live,
                };
                let name = &self.records[of].name;
                let known = self.nodes[viewer].table.get(name);
                let known = known.and_then(|member| member.incarnation);
                let incarnation_matches =
                    viewer == of || !node.running || known == Some(Incarnation(node.incarnation));
                if state != Some(expected) || !incarnation_matches {
                    return Some(format!(
                        "node {viewer} has node {of} as {state:?}, expected {expected:?}"
                    ));
                }
            }
        }
        None
    }

    fn is_leaving(&self, index: usize) -> bool {
        // The own table of a process has its current state before any other table.
        self.nodes[index]
            .table
            .state(&self.records[index].name, self.now())
            == Some(MemberState::Leaving)
    }

    /// Runs until all views match the actual state, for at most `limit`.
    ///
    /// Returns the time taken in seconds, or the first difference that remains.
    pub fn run_until_converged(&mut self, limit: Duration) -> Result<u64, String> {
        let start = self.now_s;
        while self.now_s - start < limit.as_secs() {
            self.run(1);
            if self.first_difference().is_none() {
                return Ok(self.now_s - start);
            }
        }
        Err(self.first_difference().unwrap_or_default())
    }
}
