//! Instances of the fleet and their reachability.

use std::{cmp::Reverse, time::Duration};

use hawthornquay_decisions::{
    InstanceId, InstanceName, Map, MonotonicTime, OrganisationId, RegionName, Set,
};

use crate::{
    InstanceChanges, ListedInstance, RECOVERY_GRACE, StoreRevision, contact::Contact,
    removal_log::RemovalLog, stable_hash,
};

/// Time without a message after which an instance counts as silent and callers are not sent to it.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of instances, besides the first by rank, that are tried at a time as the leader of a
/// region without recent messages. The leader exchanges reports with the other regions.
const EXTRA_LEADER_CANDIDATES: usize = 2;

/// Backoff after an instance was unreachable. Each attempt to open a link to an instance that is
/// cut off takes almost a second.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(2_000);

/// Minimum number of instances in a region for an organisation's rate-limit pool to have a second
/// owner. In such a region, an owner that is cut off serves at most a sixth of the callers.
const MIN_INSTANCES_FOR_SECOND_OWNER: usize = 6;

/// Instances of the fleet, from the store's list and the messages that they send.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    revision: StoreRevision,
    /// Store revision of the last list that differed from the one before, or of the first list of an
    /// era.
    changed_revision: StoreRevision,
    /// Time at which the list was last known to be current in the store.
    read_at: Option<MonotonicTime>,
    /// Store revision of the list that last added or changed each instance.
    changed_at: Map<InstanceName, StoreRevision>,
    removals: RemovalLog<InstanceName>,
    pub(crate) listed: Vec<ListedInstance>,
    /// Instances in `listed` whose registrations the store has lost; they stay listed until
    /// `lost_until`.
    lost: Set<InstanceName>,
    lost_until: MonotonicTime,
    /// Instances that are missing from the store's list but have sent a message recently.
    unlisted: Vec<ListedInstance>,
    pub(crate) contacts: Map<InstanceName, Contact>,
    /// Another instance that leads the local region, and the time since which it has.
    leader_since: Option<(InstanceId, MonotonicTime)>,
    /// Time since which this instance has led its region without a break.
    pub(crate) leading_since: Option<MonotonicTime>,
}

impl InstanceList {
    /// Returns the store revision of the current list, or zero before the first list.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the time since the list was last known to be current, or `None` before that.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Records that the list of `revision` was current in the store at `read_at`; ignored unless this
    /// is the current list.
    pub fn confirm(&mut self, revision: StoreRevision, read_at: MonotonicTime) {
        if revision == self.revision {
            self.read_at = self.read_at.max(Some(read_at));
        }
    }

    /// Replaces the list by one read from the store, and returns whether the instances changed.
    ///
    /// A list of an older revision is ignored. An instance that is missing from the list but still
    /// sends messages may have lost only its connection to the store. It is kept in a separate
    /// list, because its only updates are then the status messages of the other instances. In the
    /// first lists of an era, instances are missing that have not registered again yet; they stay
    /// listed for a grace period.
    pub fn apply_listing(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        mut stored: Vec<ListedInstance>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let is_new_era = self.revision.is_replaced_by(revision);
        if is_new_era {
            self.lost_until = now + RECOVERY_GRACE;
        }
        self.revision = revision;
        stored.sort_by(|a, b| a.id.cmp(&b.id));
        self.removals.start(revision);
        if is_new_era || !self.stored().eq(&stored) {
            self.record_changes(revision, &stored);
        }
        let (lost, missing): (Vec<_>, Vec<_>) = self
            .listed
            .iter()
            .filter(|one| !stored.iter().any(|entry| entry.id.name == one.id.name))
            .cloned()
            .partition(|one| now < self.lost_until && !self.is_leaving(one));
        self.lost = lost.iter().map(|one| one.id.name.clone()).collect();
        let mut listed = stored;
        listed.extend(lost);
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        self.replace_listed(now, listed, missing)
    }

    /// Replaces the listed instances; `missing` are those that are no longer listed.
    fn replace_listed(
        &mut self,
        now: MonotonicTime,
        listed: Vec<ListedInstance>,
        missing: Vec<ListedInstance>,
    ) -> bool {
        let mut unlisted = std::mem::take(&mut self.unlisted);
        unlisted.extend(missing);
        unlisted.retain(|one| {
            !listed.iter().any(|entry| entry.id.name == one.id.name)
                && self.is_responsive(now, &one.id.name)
                && !self.is_leaving(one)
        });
        self.unlisted = unlisted;
        let changed = listed != self.listed;
        self.listed = listed;
        changed
    }

    /// Removes instances that have not registered again within the grace period after the store
    /// lost their registrations; returns whether there were any.
    pub fn end_grace(&mut self, now: MonotonicTime) -> bool {
        if now < self.lost_until || self.lost.is_empty() {
            return false;
        }
        let lost = std::mem::take(&mut self.lost);
        let (missing, listed) = std::mem::take(&mut self.listed)
            .into_iter()
            .partition(|one| lost.contains(&one.id.name));
        self.replace_listed(now, listed, missing);
        true
    }

    /// Returns the instances in the store's list, to be sent to other instances.
    pub fn stored(&self) -> impl Iterator<Item = &ListedInstance> {
        self.listed
            .iter()
            .filter(|one| !self.lost.contains(&one.id.name))
    }

    /// Returns whether the store has lost the registration of `id` that was written at the revision
    /// `registered`: a later list does not contain it.
    pub fn is_registration_lost(&self, id: &InstanceId, registered: StoreRevision) -> bool {
        self.revision > registered && !self.stored().any(|one| one.id == *id)
    }

    /// Applies the changes since an earlier list, and returns whether the instances changed.
    ///
    /// Changes that do not continue the current list, or lead to an older one, are ignored.
    pub fn apply_changes(&mut self, now: MonotonicTime, changes: &InstanceChanges) -> bool {
        if changes.base > self.revision || self.revision.is_absent() {
            return false;
        }
        let replaced = |name: &InstanceName| {
            changes.removed.contains(name) || changes.changed.iter().any(|one| one.id.name == *name)
        };
        let kept = self.stored().filter(|one| !replaced(&one.id.name));
        let listed = kept.chain(&changes.changed).cloned().collect();
        self.apply_listing(now, changes.revision, listed)
    }

    /// Returns the changes after the list of `revision`, or `None` if they are not known so far
    /// back, as in another era.
    pub fn changes_since(&self, revision: StoreRevision) -> Option<InstanceChanges> {
        let is_listed = |name: &InstanceName| self.stored().any(|one| one.id.name == *name);
        let removed = self.removals.since(revision)?;
        let removed: Set<&InstanceName> = removed.filter(|name| !is_listed(name)).collect();
        let is_changed = |name: &InstanceName| {
            let at = self.changed_at.get(name);
            at.is_none_or(|at| *at > revision)
        };
        Some(InstanceChanges {
            base: revision,
            revision: self.revision,
            changed: self
                .stored()
                .filter(|one| is_changed(&one.id.name))
                .cloned()
                .collect(),
            removed: removed.into_iter().cloned().collect(),
        })
    }

    /// Returns the store revision of the last list that differed from the one before.
    pub const fn changed_revision(&self) -> StoreRevision {
        self.changed_revision
    }

    /// Records that the list has not changed up to the store revision `revision`.
    pub fn confirm_revision(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Records how `stored`, the store's list of `revision`, differs from the current one.
    fn record_changes(&mut self, revision: StoreRevision, stored: &[ListedInstance]) {
        self.changed_revision = revision;
        let before: Map<InstanceName, ListedInstance> = self
            .stored()
            .map(|one| (one.id.name.clone(), one.clone()))
            .collect();
        for one in stored {
            if before.get(&one.id.name) != Some(one) {
                self.changed_at.insert(one.id.name.clone(), revision);
            }
        }
        let names: Set<&InstanceName> = stored.iter().map(|one| &one.id.name).collect();
        for name in before.into_keys().filter(|name| !names.contains(name)) {
            self.changed_at.remove(&name);
            self.removals.record(revision, name);
        }
    }

    /// Records a message from an instance; `leaving` says whether it is shutting down.
    pub fn record_message(
        &mut self,
        now: MonotonicTime,
        name: &InstanceName,
        incarnation: u64,
        leaving: bool,
    ) {
        let contact = self.contacts.entry(name.clone()).or_default();
        *contact = Contact {
            last_message_at: Some(now),
            backoff_until: contact.backoff_until,
            // A process that is leaving stays so; a new process of that name has a new incarnation.
            leaving: leaving || (contact.leaving && contact.incarnation == incarnation),
            incarnation,
        };
    }

    /// Records that an instance could not be reached, and starts its backoff.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, name: &InstanceName) {
        let contact = self.contacts.entry(name.clone()).or_default();
        contact.backoff_until = now + UNREACHABLE_BACKOFF;
    }

    /// Returns the listed instances.
    pub fn all(&self) -> &[ListedInstance] {
        &self.listed
    }

    /// Returns the instance with this name, whether listed or unlisted but still sending messages.
    pub fn get(&self, name: &InstanceName) -> Option<&ListedInstance> {
        self.listed
            .iter()
            .chain(&self.unlisted)
            .find(|instance| instance.id.name == *name)
    }

    /// Returns the instances of a region that are to receive status messages: the listed ones that
    /// are not leaving, and the unlisted ones that have sent a message recently.
    pub fn status_receivers_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
    ) -> impl Iterator<Item = &ListedInstance> {
        let unlisted = self.unlisted.iter().filter(move |instance| {
            instance.region == *region && self.is_responsive(now, &instance.id.name)
        });
        self.active_in(region).chain(unlisted)
    }

    /// Returns the names of the listed instances of a region that are not leaving.
    pub fn active_names_in(&self, region: &RegionName) -> Vec<InstanceName> {
        self.active_in(region)
            .map(|instance| instance.id.name.clone())
            .collect()
    }

    /// Returns the listed instances of a region that are not leaving.
    pub fn active_in(&self, region: &RegionName) -> impl Iterator<Item = &ListedInstance> {
        self.listed
            .iter()
            .filter(move |instance| instance.region == *region && !self.is_leaving(instance))
    }

    /// Returns the rank of an instance for the leadership of its region, from zero.
    ///
    /// The instance with the fastest network link comes first, since a leader sends to all others
    /// of its region; the name decides between equal ones.
    pub fn leadership_rank(&self, region: &RegionName, name: &InstanceName) -> usize {
        let own = self.active_in(region).find(|one| one.id.name == *name);
        let own_link = own.map_or(0, |one| one.link_mbps);
        self.active_in(region)
            .filter(|one| leadership_key(one) < (Reverse(own_link), name))
            .count()
    }

    /// Returns the leader of a region: the first in the order of [`Self::leadership_rank`] of the
    /// instances that are neither stopping nor silent. `local` is this instance, which is never
    /// silent.
    pub fn leader_of(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        local: &InstanceName,
    ) -> Option<&ListedInstance> {
        self.active_in(region)
            .filter(|one| one.id.name == *local || !self.is_silent(now, &one.id.name))
            .min_by_key(|one| leadership_key(one))
    }

    /// Returns whether `local` leads its region; an instance that is stopping never does.
    pub fn is_leader(&self, now: MonotonicTime, region: &RegionName, local: &InstanceName) -> bool {
        match self.leader_of(now, region, local) {
            Some(leader) => leader.id.name == *local,
            None => !self.contacts.get(local).is_some_and(|own| own.leaving),
        }
    }

    /// Records whether this instance leads its region, and so receives messages from all others.
    pub fn record_leadership(&mut self, now: MonotonicTime, leads: bool) {
        self.leading_since = leads.then(|| self.leading_since.unwrap_or(now));
    }

    /// Records who leads `region`, the one of the instance `local`. A leader sends to all instances of
    /// its region, so one that has never sent a message counts as silent after the usual time.
    pub fn track_leader(&mut self, now: MonotonicTime, region: &RegionName, local: &InstanceName) {
        let leader = self.leader_of(now, region, local).map(|one| one.id.clone());
        let Some(leader) = leader.filter(|id| id.name != *local) else {
            self.leader_since = None;
            return;
        };
        let since = match &self.leader_since {
            Some((known, since)) if *known == leader => *since,
            _ => now,
        };
        if now.since(since) > SILENCE_TIMEOUT {
            let contact = self.contacts.entry(leader.name.clone()).or_default();
            if contact.last_message_at.is_none() {
                contact.last_message_at = Some(since);
                contact.incarnation = leader.incarnation.0;
            }
        }
        self.leader_since = Some((leader, since));
    }

    /// Returns the regions that have listed instances.
    pub fn regions(&self) -> Set<RegionName> {
        self.listed
            .iter()
            .map(|instance| instance.region.clone())
            .collect()
    }

    /// Returns whether an instance that has sent messages before has stopped sending them.
    pub fn is_silent(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let last_message_at = self
            .contacts
            .get(name)
            .and_then(|contact| contact.last_message_at);
        last_message_at.is_some_and(|at| now.since(at) > SILENCE_TIMEOUT)
    }

    fn is_responsive(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let last_message_at = self
            .contacts
            .get(name)
            .and_then(|contact| contact.last_message_at);
        last_message_at.is_some_and(|at| now.since(at) <= SILENCE_TIMEOUT)
    }

    /// Returns the instances of another region to which the report of the local region is sent,
    /// because each of them may be the leader of that region.
    ///
    /// Only leaders send to other regions, so the instance with the latest message is the leader.
    /// Without a recent message the leader is unknown: the first instance by rank and, depending on
    /// `turn`, a few of the others are returned. Every instance gets its turn, since one that was
    /// silent before may lead now.
    pub fn leader_candidates_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        turn: usize,
    ) -> Vec<&ListedInstance> {
        let mut active: Vec<&ListedInstance> = self.active_in(region).collect();
        active.sort_by_key(|one| leadership_key(one));
        let latest_sender = active
            .iter()
            .filter_map(|instance| {
                let at = self.contacts.get(&instance.id.name)?.last_message_at?;
                (now.since(at) <= SILENCE_TIMEOUT).then_some((at, *instance))
            })
            .max_by_key(|(at, _)| *at);
        if let Some((_, instance)) = latest_sender {
            return vec![instance];
        }
        let others = active.len().saturating_sub(1);
        let extra = (0..EXTRA_LEADER_CANDIDATES.min(others))
            .map(|n| active[1 + (turn * EXTRA_LEADER_CANDIDATES + n) % others]);
        active.first().copied().into_iter().chain(extra).collect()
    }

    /// Returns the instance of `region` to which `sender` forwards a request.
    ///
    /// A hash spreads the senders over the instances of the region. Each sender always uses the
    /// same instance, so that it can reuse its link. Instances in `excluded` have failed the
    /// request before.
    pub fn forward_target_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        sender: &InstanceName,
        excluded: &[InstanceName],
    ) -> Option<&ListedInstance> {
        self.active_in(region)
            .filter(|instance| !excluded.contains(&instance.id.name))
            .filter(|instance| !self.in_backoff(now, &instance.id.name))
            .max_by_key(|instance| stable_hash(&[sender.as_str(), instance.id.name.as_str()]))
    }

    /// Returns whether any instance of `region` is not in backoff, regardless of which instances a
    /// single request excludes.
    pub fn has_reachable_instance(&self, now: MonotonicTime, region: &RegionName) -> bool {
        self.active_in(region)
            .any(|instance| !self.in_backoff(now, &instance.id.name))
    }

    /// Returns the instances of `region` that may lend from the region's pool of an organisation's
    /// rate: the owner and, in a large region, a second owner in case the first is unreachable.
    ///
    /// While one owner is cut off, both lend: it to its own callers, the other to the rest of the
    /// region. In a large region one instance has few callers, so both together exceed the rate
    /// only slightly.
    pub fn pool_owners_in(
        &self,
        region: &RegionName,
        organisation: &OrganisationId,
    ) -> Vec<&ListedInstance> {
        let mut active: Vec<&ListedInstance> = self.active_in(region).collect();
        let owners = if active.len() >= MIN_INSTANCES_FOR_SECOND_OWNER {
            2
        } else {
            1
        };
        active.sort_by_cached_key(|instance| {
            Reverse(stable_hash(&[
                organisation.as_str(),
                instance.id.name.as_str(),
            ]))
        });
        active.truncate(owners);
        active
    }

    /// Returns whether an instance may be called now.
    ///
    /// During its backoff an unreachable instance is not called. After that, one call per backoff
    /// probes whether it is reachable again.
    pub fn allow_call(&mut self, now: MonotonicTime, name: &InstanceName) -> bool {
        let Some(contact) = self.contacts.get_mut(name) else {
            return true;
        };
        if now < contact.backoff_until {
            return false;
        }
        if contact.backoff_until > MonotonicTime(0) {
            contact.backoff_until = now + UNREACHABLE_BACKOFF;
        }
        true
    }

    /// Records that an instance has responded, and ends its backoff.
    pub fn mark_reachable(&mut self, name: &InstanceName) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.backoff_until = MonotonicTime(0);
        }
    }

    /// Returns whether an instance is in backoff because it was unreachable.
    pub fn in_backoff(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| now < contact.backoff_until)
    }

    pub(crate) fn is_leaving(&self, instance: &ListedInstance) -> bool {
        self.contacts.get(&instance.id.name).is_some_and(|contact| {
            contact.leaving && contact.incarnation == instance.id.incarnation.0
        })
    }
}

/// Returns the key by which the instances of a region are ordered for its leadership.
const fn leadership_key(instance: &ListedInstance) -> (Reverse<u32>, &InstanceName) {
    (Reverse(instance.link_mbps), &instance.id.name)
}
