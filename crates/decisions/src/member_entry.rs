//! Entry of the member table.

use std::time::Duration;

use crate::{
    GossipEntry, GossipLoad, Incarnation, InstanceId, InstanceRecord, InstanceState, MonotonicTime,
};

/// Number of digests in which a changed entry is sent before unchanged ones.
const PRIORITY_SENDS_PER_CHANGE: u8 = 6;

/// Age from which a load report is no longer sent. By then, another instance has taken over the
/// polling of the server.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// State that an instance keeps about another member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Latest record from the platform's instance list.
    pub record: InstanceRecord,
    /// Incarnation of the member, or `None` if no digest has contained the member yet.
    pub incarnation: Option<Incarnation>,
    /// Version of the bundle in force on the member.
    pub bundle_version: u64,
    pub(crate) heartbeat: u64,
    pub(crate) leaving: bool,
    /// Load reports of the servers that the member polls, with the time of receipt.
    pub(crate) loads: Vec<(MonotonicTime, GossipLoad)>,
    /// Time of the digest by which the member itself announced this incarnation; zero if only other
    /// members have reported it.
    pub(crate) incarnation_confirmed_at: MonotonicTime,
    /// Time at which a newer heartbeat or incarnation was last received, or at which the member was
    /// first listed.
    pub(crate) last_heartbeat_at: MonotonicTime,
    /// Whether a link failed after `last_heartbeat_at`.
    pub(crate) unreachable: bool,
    /// Whether the list omits the member and gives its address to another one.
    pub(crate) superseded: bool,
    /// Time since which the platform's instance list reports the name as gone.
    pub(crate) gone_since: Option<MonotonicTime>,
    /// Number of digests that are still to include this entry before unchanged ones.
    pub(crate) priority_sends: u8,
    /// Number, in the order of creation, of the digest that last included the load reports.
    pub(crate) loads_last_sent_digest: u64,
    /// Number of digests that are still to include the load reports before those of other members.
    pub(crate) load_priority_sends: u8,
}

impl MemberEntry {
    pub(crate) fn new(record: InstanceRecord, now: MonotonicTime) -> Self {
        Self {
            record,
            incarnation: None,
            bundle_version: 0,
            heartbeat: 0,
            leaving: false,
            loads: Vec::new(),
            incarnation_confirmed_at: MonotonicTime::default(),
            last_heartbeat_at: now,
            unreachable: false,
            superseded: false,
            gone_since: None,
            priority_sends: 0,
            loads_last_sent_digest: 0,
            load_priority_sends: 0,
        }
    }

    /// Returns whether the member is leaving, according to its own digests or to the list.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.record.state == InstanceState::Leaving
    }

    /// Returns the time since which the list reports this incarnation as gone.
    ///
    /// The list contains names, but no incarnations. An incarnation that announced itself after
    /// that time is the successor of the one that ended.
    pub(crate) fn incarnation_gone_since(&self) -> Option<MonotonicTime> {
        self.gone_since
            .filter(|&since| self.incarnation.is_none() || self.incarnation_confirmed_at <= since)
    }

    /// Replaces the known incarnation by the one in `entry`; `direct` says that the member itself
    /// sent the entry.
    ///
    /// A relayed entry may be older than the list's report that the process ended, so only a direct
    /// entry proves that a newer process runs.
    pub(crate) fn replace_incarnation(
        &mut self,
        entry: &GossipEntry,
        direct: bool,
        now: MonotonicTime,
    ) {
        if direct {
            self.incarnation_confirmed_at = now;
        }
        // The first entry about a member needs no priority: other members do not depend on it.
        if self.incarnation.is_some() {
            self.priority_sends = PRIORITY_SENDS_PER_CHANGE;
        }
        self.incarnation = Some(entry.id.incarnation);
        self.heartbeat = entry.heartbeat;
        self.bundle_version = entry.bundle_version;
        self.leaving = entry.leaving;
        self.loads.clear();
        self.superseded = false;
        self.merge_loads(entry, now);
        self.record_heartbeat(now);
    }

    /// Updates the known incarnation from `entry`.
    ///
    /// An entry without a newer heartbeat changes only load reports with a higher sequence number.
    pub(crate) fn update_incarnation(&mut self, entry: &GossipEntry, now: MonotonicTime) {
        // Load reports have their own sequence numbers, and may arrive after a digest that had the
        // same heartbeat but no room for them.
        self.merge_loads(entry, now);
        if entry.heartbeat <= self.heartbeat {
            return;
        }
        self.heartbeat = entry.heartbeat;
        if entry.bundle_version > self.bundle_version || entry.leaving && !self.leaving {
            self.priority_sends = PRIORITY_SENDS_PER_CHANGE;
        }
        self.bundle_version = self.bundle_version.max(entry.bundle_version);
        self.leaving |= entry.leaving;
        self.record_heartbeat(now);
    }

    /// Returns the digest entry of this member without load reports, or `None` if its incarnation
    /// is unknown.
    pub(crate) fn gossip_entry(&self) -> Option<GossipEntry> {
        Some(GossipEntry {
            id: InstanceId {
                name: self.record.name.clone(),
                incarnation: self.incarnation?,
            },
            heartbeat: self.heartbeat,
            bundle_version: self.bundle_version,
            leaving: self.leaving,
            loads: Vec::new(),
        })
    }

    pub(crate) fn gossip_entry_with_loads(&self, now: MonotonicTime) -> Option<GossipEntry> {
        Some(GossipEntry {
            loads: self.fresh_loads(now).cloned().collect(),
            ..self.gossip_entry()?
        })
    }

    pub(crate) fn fresh_loads(&self, now: MonotonicTime) -> impl Iterator<Item = &GossipLoad> {
        self.loads
            .iter()
            .filter(move |(received, _)| now.since(*received) < LOAD_REPORT_LIFETIME)
            .map(|(_, load)| load)
    }

    fn record_heartbeat(&mut self, now: MonotonicTime) {
        self.last_heartbeat_at = now;
        self.unreachable = false;
    }

    fn merge_loads(&mut self, entry: &GossipEntry, now: MonotonicTime) {
        self.loads
            .retain(|(received, _)| now.since(*received) < LOAD_REPORT_LIFETIME);
        for load in &entry.loads {
            self.merge_load(load, now);
        }
    }

    fn merge_load(&mut self, load: &GossipLoad, now: MonotonicTime) {
        let known_index = self
            .loads
            .iter()
            .position(|(_, known)| known.backend == load.backend);
        let known = known_index.map(|index| &self.loads[index].1);
        if known.is_some_and(|known| load.sequence <= known.sequence) {
            return;
        }
        if load.leaving && !known.is_some_and(|known| known.leaving) {
            self.load_priority_sends = PRIORITY_SENDS_PER_CHANGE;
        }
        if let Some(index) = known_index {
            self.loads.swap_remove(index);
        }
        self.loads.push((now, load.clone()));
    }
}
