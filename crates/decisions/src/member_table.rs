//! Member table of one instance.

use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use crate::{
    GossipEntry, GossipLoad, GossipSettings, Incarnation, InstanceId, InstanceName, InstanceRecord,
    InstanceState, Map, MemberEntry, MemberState, MonotonicTime, RegionName, Set,
};

/// Time for which a gone member is kept after the list has dropped it.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Number of instances per region that watch the store.
const STORE_WATCHERS_PER_REGION: usize = 2;

/// Members of the fleet, from the platform's instance list and from gossip digests.
///
/// A member without a new heartbeat becomes suspect. It counts as gone only when the list says so,
/// and stays in the table when the list merely omits it.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_entry: GossipEntry,
    own_record: InstanceRecord,
    /// Sorted, because digests cycle through the members by name.
    members: BTreeMap<InstanceName, MemberEntry>,
    settings: GossipSettings,
    /// Number of digests created so far.
    digest_count: u64,
    /// Whether a list has contained this instance since the process started. A list that lags too
    /// far to contain it may lack other members as well.
    is_listed: bool,
    /// By receiver, the last member of the cycle whose entry was sent to the receiver.
    cursors: Map<InstanceName, InstanceName>,
}

impl MemberTable {
    /// Returns a table that contains only this instance.
    pub fn new(
        own_record: InstanceRecord,
        incarnation: Incarnation,
        settings: GossipSettings,
    ) -> Self {
        let id = InstanceId {
            name: own_record.name.clone(),
            incarnation,
        };
        Self {
            own_entry: GossipEntry::new(id),
            own_record,
            members: BTreeMap::new(),
            settings,
            digest_count: 0,
            is_listed: false,
            cursors: Map::default(),
        }
    }

    /// Returns this instance's own digest entry for modification.
    pub const fn own_entry_mut(&mut self) -> &mut GossipEntry {
        &mut self.own_entry
    }

    /// Returns this instance's record in the instance list.
    pub const fn own_record(&self) -> &InstanceRecord {
        &self.own_record
    }

    /// Returns the other members, sorted by name.
    pub fn others(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the other member with this name.
    pub fn get(&self, name: &InstanceName) -> Option<&MemberEntry> {
        self.members.get(name)
    }

    /// Updates the table from the platform's instance list.
    pub fn apply_instance_list(&mut self, now: MonotonicTime, records: &[InstanceRecord]) {
        self.is_listed |= records
            .iter()
            .any(|record| record.name == self.own_record.name);
        for record in records {
            if record.name != self.own_record.name {
                self.apply_record(now, record);
            }
        }
        let listed: Set<_> = records.iter().map(|record| &record.name).collect();
        let addresses: Set<_> = records
            .iter()
            .filter(|record| record.state != InstanceState::Gone)
            .map(|record| record.peers)
            .collect();
        self.members.retain(|name, member| {
            let expired = member
                .incarnation_gone_since()
                .is_some_and(|since| now.since(since) > GONE_RETENTION);
            if listed.contains(name) {
                return true;
            }
            member.superseded |= addresses.contains(&member.record.peers);
            !expired
        });
        let members = &self.members;
        self.cursors.retain(|name, _| members.contains_key(name));
    }

    /// Merges a digest that the process `from` sent.
    ///
    /// The digest is ignored unless its first entry is the sender's own.
    pub fn apply_digest(&mut self, now: MonotonicTime, from: &InstanceId, entries: &[GossipEntry]) {
        let Some((sender_entry, relayed)) = entries.split_first() else {
            return;
        };
        if sender_entry.id != *from {
            return;
        }
        self.merge_entry(now, sender_entry, true);
        for entry in relayed {
            self.merge_entry(now, entry, false);
        }
    }

    /// Records that a link to the member failed; it is suspect until its heartbeat next increases.
    pub fn mark_unreachable(&mut self, name: &InstanceName) {
        if let Some(member) = self.members.get_mut(name) {
            member.unreachable = true;
        }
    }

    /// Increments this instance's heartbeat; called once per second.
    pub const fn increment_heartbeat(&mut self) {
        self.own_entry.heartbeat += 1;
    }

    /// Returns the entries of a digest to the member `to`, as many as fit into the byte limit.
    ///
    /// `encoded_len` returns the number of bytes that an entry adds to the encoded digest. This
    /// instance's entry comes first, with as many load reports as fit into half of the limit. Load
    /// reports of other members are relayed only within the failure domain, and each digest has
    /// those of one member, because all reports of a large fleet exceed the limit.
    pub fn digest(
        &mut self,
        now: MonotonicTime,
        to: &InstanceName,
        encoded_len: impl Fn(&GossipEntry) -> usize,
    ) -> Vec<GossipEntry> {
        self.digest_count += 1;
        let max_bytes = self.settings.max_digest_bytes;
        let own = self.own_entry_within(max_bytes / 2, &encoded_len);
        let mut used = encoded_len(&own);
        let mut entries = vec![own];
        if let Some(entry) = self.next_load_entry(now, to, max_bytes - used, &encoded_len) {
            used += encoded_len(&entry);
            entries.push(entry);
        }
        // One more, because the loop skips the member whose load reports are in the digest already.
        let shortest = encoded_len(&GossipEntry::new(InstanceId::new("", 1)));
        let count = max_bytes / shortest + 1;
        for name in self.next_entry_members(now, to, count) {
            let Some(member) = self.members.get_mut(&name) else {
                continue;
            };
            let included = entries.iter().any(|entry| entry.id.name == name);
            let Some(entry) = member.gossip_entry().filter(|_| !included) else {
                continue;
            };
            used += encoded_len(&entry);
            if used > max_bytes {
                break;
            }
            if member.priority_sends > 0 {
                member.priority_sends -= 1;
            } else {
                self.cursors.insert(to.clone(), name);
            }
            entries.push(entry);
        }
        entries
    }

    /// Returns the state of a member or of this instance, or `None` for an unknown name.
    pub fn state(&self, name: &InstanceName, now: MonotonicTime) -> Option<MemberState> {
        if *name == self.own_record.name {
            return Some(self.own_state());
        }
        Some(self.state_of(self.members.get(name)?, now))
    }

    /// Returns the state of a member of this table.
    pub fn state_of(&self, member: &MemberEntry, now: MonotonicTime) -> MemberState {
        if member.incarnation_gone_since().is_some() {
            return MemberState::Gone;
        }
        if member.unreachable || member.superseded || self.is_heartbeat_overdue(member, now) {
            return MemberState::Suspect;
        }
        if member.is_leaving() {
            return MemberState::Leaving;
        }
        MemberState::Live
    }

    /// Returns the time since a newer heartbeat or incarnation of the member was last received, or
    /// since the member was first listed.
    pub const fn heartbeat_age(&self, member: &MemberEntry, now: MonotonicTime) -> Duration {
        now.since(member.last_heartbeat_at)
    }

    /// Returns the time for which the list has reported a process as gone.
    ///
    /// Returns `None` if the list does not report the name as gone, or if `id` is the current
    /// incarnation and announced itself after that report.
    pub fn gone_duration(&self, id: &InstanceId, now: MonotonicTime) -> Option<Duration> {
        let member = self.members.get(&id.name)?;
        if member.incarnation_gone_since().is_some() || member.incarnation != Some(id.incarnation) {
            return member.gone_since.map(|since| now.since(since));
        }
        None
    }

    /// Returns the instances of a region that watch the store: the first live ones by name.
    ///
    /// Instances whose tables differ may return different watchers.
    pub fn watchers(&self, region: &RegionName, now: MonotonicTime) -> Vec<InstanceName> {
        let own = (self.own_state() == MemberState::Live).then_some(&self.own_record);
        let others = self
            .members
            .values()
            .filter(|member| self.state_of(member, now) == MemberState::Live)
            .map(|member| &member.record);
        let mut names: Vec<_> = own
            .into_iter()
            .chain(others)
            .filter(|record| record.region == *region)
            .map(|record| record.name.clone())
            .collect();
        names.sort();
        names.truncate(STORE_WATCHERS_PER_REGION);
        names
    }

    /// Returns whether this instance is the first live one of its failure domain by name.
    ///
    /// Returns `false` until a list has contained this instance: lists lag, and one that lacks this
    /// instance may lack the other members as well. Several instances may be leader while their
    /// tables differ.
    pub fn is_domain_leader(&self, now: MonotonicTime) -> bool {
        self.is_listed
            && self
                .members
                .values()
                .filter(|member| member.record.domain == self.own_record.domain)
                .filter(|member| self.state_of(member, now) == MemberState::Live)
                .all(|member| member.record.name > self.own_record.name)
    }

    /// Returns the highest bundle version among the other members, and the members that have it.
    pub fn highest_bundle_version(&self) -> (u64, Vec<InstanceName>) {
        let highest = self.members.values().map(|member| member.bundle_version);
        let highest = highest.max().unwrap_or(0);
        let mut names: Vec<_> = self
            .members
            .values()
            .filter(|member| member.bundle_version == highest)
            .map(|member| member.record.name.clone())
            .collect();
        names.sort();
        (highest, names)
    }

    /// Returns the newest load report of each backend server that other instances poll.
    pub fn peer_load_reports(&self, now: MonotonicTime) -> Vec<GossipLoad> {
        let mut newest: Map<_, &GossipLoad> = Map::default();
        for load in self
            .members
            .values()
            .flat_map(|member| member.fresh_loads(now))
        {
            let known = newest.entry(&load.backend).or_insert(load);
            if load.sequence > known.sequence {
                *known = load;
            }
        }
        newest.into_values().cloned().collect()
    }

    pub(crate) const fn own_state(&self) -> MemberState {
        if self.own_entry.leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }

    fn apply_record(&mut self, now: MonotonicTime, record: &InstanceRecord) {
        let member = self
            .members
            .entry(record.name.clone())
            .or_insert_with(|| MemberEntry::new(record.clone(), now));
        member.record = record.clone();
        member.superseded = false;
        member.gone_since = (record.state == InstanceState::Gone).then(|| {
            let age_us = record.state_age_ms.saturating_mul(1_000);
            MonotonicTime(now.0.saturating_sub(age_us))
        });
    }

    /// Merges one digest entry; `direct` says that the member itself sent it.
    fn merge_entry(&mut self, now: MonotonicTime, entry: &GossipEntry, direct: bool) {
        // Addresses and failure domains come from the list, so an entry about a name that was never
        // listed is ignored.
        let Some(member) = self.members.get(&entry.id.name) else {
            return;
        };
        let known = member.incarnation;
        // Incarnations have no order. A relayed incarnation replaces the known one only when the
        // heartbeat of that one is overdue, so that an old entry cannot restore a former
        // incarnation.
        let may_replace = known.is_none() || direct || self.is_heartbeat_overdue(member, now);
        let Some(member) = self.members.get_mut(&entry.id.name) else {
            return;
        };
        if known == Some(entry.id.incarnation) {
            member.update_incarnation(entry, now);
        } else if may_replace {
            member.replace_incarnation(entry, direct, now);
        }
    }

    fn is_heartbeat_overdue(&self, member: &MemberEntry, now: MonotonicTime) -> bool {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let extra = self
            .settings
            .suspicion_timeout_per_member
            .saturating_mul(members);
        now.since(member.last_heartbeat_at) > self.settings.suspicion_timeout_base + extra
    }

    /// Returns the next members to include in a digest to `to`: changed members first, then the
    /// others by name, starting after the last one sent to `to`.
    ///
    /// A separate cycle per receiver bounds the time between two entries about the same member.
    /// With random selection this time has a long tail, in which live members become suspect.
    fn next_entry_members(
        &self,
        now: MonotonicTime,
        to: &InstanceName,
        count: usize,
    ) -> Vec<InstanceName> {
        let changed = self
            .members
            .values()
            .filter(|member| member.priority_sends > 0);
        let cursor = self.cursors.get(to).unwrap_or(to);
        let after = self
            .members
            .range::<InstanceName, _>((Excluded(cursor), Unbounded));
        let cycle = after
            .chain(self.members.range::<InstanceName, _>(..=cursor))
            .map(|(_, member)| member)
            .filter(|member| member.priority_sends == 0);
        changed
            .chain(cycle)
            .filter(|member| member.record.name != *to && member.incarnation.is_some())
            .filter(|member| self.state_of(member, now).receives_digests())
            .map(|member| member.record.name.clone())
            .take(count)
            .collect()
    }

    /// Returns the entry of the member whose load reports are to be relayed to `to` next, with the
    /// reports that fit into `max_bytes`.
    ///
    /// Reports are relayed only between members of the same failure domain. Members with a
    /// newly leaving server come first, then those whose reports were not relayed for longest.
    fn next_load_entry(
        &mut self,
        now: MonotonicTime,
        to: &InstanceName,
        max_bytes: usize,
        encoded_len: impl Fn(&GossipEntry) -> usize,
    ) -> Option<GossipEntry> {
        let domain = &self.own_record.domain;
        if self.members.get(to)?.record.domain != *domain {
            return None;
        }
        let has_loads_to_relay = |member: &&MemberEntry| {
            member.record.domain == *domain
                && member.record.name != *to
                && self.state_of(member, now).receives_digests()
                && member.fresh_loads(now).next().is_some()
        };
        let next = self
            .members
            .values()
            .filter(has_loads_to_relay)
            .max_by_key(|member| {
                let age = self.digest_count - member.loads_last_sent_digest;
                (member.load_priority_sends > 0, age, &member.record.name)
            })?;
        let name = next.record.name.clone();
        let member = self.members.get_mut(&name)?;
        let mut entry = member.gossip_entry_with_loads(now)?;
        trim_loads(&mut entry, max_bytes, encoded_len);
        if entry.loads.is_empty() {
            return None;
        }
        member.loads_last_sent_digest = self.digest_count;
        member.load_priority_sends = member.load_priority_sends.saturating_sub(1);
        Some(entry)
    }

    /// Returns this instance's entry with the load reports that fit into `max_bytes`.
    ///
    /// Each digest starts with another report, so that all of them are sent in turn.
    fn own_entry_within(
        &self,
        max_bytes: usize,
        encoded_len: impl Fn(&GossipEntry) -> usize,
    ) -> GossipEntry {
        let mut own = self.own_entry.clone();
        if let Ok(count @ 1..) = u64::try_from(own.loads.len()) {
            own.loads.rotate_left((self.digest_count % count) as usize);
        }
        trim_loads(&mut own, max_bytes, encoded_len);
        own
    }
}

/// Removes load reports until the entry fits into `max_bytes`, those of leaving servers last.
///
/// Instances must stop sending requests to a leaving server within seconds.
fn trim_loads(
    entry: &mut GossipEntry,
    max_bytes: usize,
    encoded_len: impl Fn(&GossipEntry) -> usize,
) {
    entry.loads.sort_by_key(|load| !load.leaving);
    while encoded_len(entry) > max_bytes && entry.loads.pop().is_some() {}
}
