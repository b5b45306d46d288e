//! One member in the table.

use std::time::Duration;

use crate::{
    GossipEntry, GossipLoad, Incarnation, InstanceId, InstanceRecord, InstanceState, MonotonicTime,
};

/// Digests that a change is preferred in.
const CHANGE_SENDS: u8 = 6;

/// Age at which a load report is no longer passed on; its server has another poller by then.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// What an instance knows about another one.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Latest entry of the platform's list.
    pub record: InstanceRecord,
    /// Incarnation that digests have named, if any has.
    pub incarnation: Option<Incarnation>,
    /// Bundle version in force at the member.
    pub bundle_version: u64,
    pub(crate) heartbeat: u64,
    pub(crate) leaving: bool,
    pub(crate) loads: Vec<(MonotonicTime, GossipLoad)>,
    /// When this instance first heard from this incarnation itself.
    pub(crate) incarnation_confirmed_at: MonotonicTime,
    /// When the heartbeat last rose, or the member was first listed.
    pub(crate) last_heartbeat_at: MonotonicTime,
    /// Whether a link failed after the last progress.
    pub(crate) unreachable: bool,
    /// Whether another member has taken over the address.
    pub(crate) superseded: bool,
    /// Since when the platform's list reports the name as gone.
    pub(crate) gone_since: Option<MonotonicTime>,
    pub(crate) priority_sends: u8,
    pub(crate) loads_last_sent_round: u64,
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
            loads_last_sent_round: 0,
            load_priority_sends: 0,
        }
    }

    /// Returns whether the member or the list says that it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.record.state == InstanceState::Leaving
    }

    /// Returns the time since which the list reports this incarnation as gone.
    ///
    /// The list knows names only. An incarnation first seen after the report has replaced the one
    /// that ended.
    pub(crate) fn incarnation_gone_since(&self) -> Option<MonotonicTime> {
        self.gone_since
            .filter(|&since| self.incarnation.is_none() || self.incarnation_confirmed_at <= since)
    }

    /// Takes an entry about another incarnation than the known one.
    ///
    /// A relayed entry may be older than the list's report of the end of the process, so only direct
    /// evidence shows that a newer one runs.
    pub(crate) fn replace_incarnation(
        &mut self,
        entry: &GossipEntry,
        direct: bool,
        now: MonotonicTime,
    ) {
        if direct {
            self.incarnation_confirmed_at = now;
        }
        // The first sight of a member is no change that others wait for.
        if self.incarnation.is_some() {
            self.priority_sends = CHANGE_SENDS;
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

    /// Takes an entry about the known incarnation; an old one changes nothing.
    pub(crate) fn update_incarnation(&mut self, entry: &GossipEntry, now: MonotonicTime) {
        // Reports have sequences of their own and may follow a heartbeat sent without them.
        self.merge_loads(entry, now);
        if entry.heartbeat <= self.heartbeat {
            return;
        }
        self.heartbeat = entry.heartbeat;
        if entry.bundle_version > self.bundle_version || entry.leaving && !self.leaving {
            self.priority_sends = CHANGE_SENDS;
        }
        self.bundle_version = self.bundle_version.max(entry.bundle_version);
        self.leaving |= entry.leaving;
        self.record_heartbeat(now);
    }

    /// Returns the entry that digests carry about this member, without load reports.
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
        let known = self
            .loads
            .iter()
            .position(|(_, known)| known.backend == load.backend);
        let before = known.map(|index| &self.loads[index].1);
        if before.is_some_and(|before| load.sequence <= before.sequence) {
            return;
        }
        if load.leaving && !before.is_some_and(|before| before.leaving) {
            self.load_priority_sends = CHANGE_SENDS;
        }
        if let Some(index) = known {
            self.loads.swap_remove(index);
        }
        self.loads.push((now, load.clone()));
    }
}
