//! Instances of the fleet.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    DomainName, InstanceName, Map, MonotonicTime, OrganisationId, RegionName, Set,
};

use crate::{ListedInstance, stable_hash};

/// Silence of an instance of the own region after which callers are not sent to it.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// Instances of an unheard region that are tried at once, beside the first by name.
const TRIED_AT_ONCE: usize = 2;

/// Pause after an instance could not be reached; opening a link to one that is cut off takes most
/// of a second each time.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(2_000);

/// Instances of a region from which on a pool has a deputy: the callers of one are a sixth there.
const DEPUTY_REGION: usize = 6;

/// Most addresses in one answer to callers.
const MOST_ADDRESSES: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    heard: Option<MonotonicTime>,
    paused_until: MonotonicTime,
    leaving: bool,
    incarnation: u64,
}

/// Instances of the fleet, from the store's list and their own messages.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    revision: u64,
    listed: Vec<ListedInstance>,
    /// Instances whose entry in the store has lapsed though they were heard a moment ago.
    lapsed: Vec<ListedInstance>,
    contacts: Map<InstanceName, Contact>,
}

impl InstanceList {
    /// Returns the revision of the list in use; zero before the first.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over a list of the store; returns whether its members changed.
    ///
    /// An instance that is missing from the list, and still heard, may be cut off from the store
    /// only; it depends on the others' messages then.
    pub fn apply_listing(
        &mut self,
        now: MonotonicTime,
        revision: u64,
        mut listed: Vec<ListedInstance>,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        let changed = listed != self.listed;
        let mut lapsed = std::mem::take(&mut self.lapsed);
        lapsed.append(&mut self.listed);
        lapsed.retain(|known| {
            !listed.iter().any(|one| one.id.name == known.id.name)
                && self.is_heard(now, &known.id.name)
                && !self.is_leaving(known)
        });
        self.lapsed = lapsed;
        self.listed = listed;
        changed
    }

    /// Notes a message of an instance.
    pub fn record_message(
        &mut self,
        now: MonotonicTime,
        name: &InstanceName,
        incarnation: u64,
        leaving: bool,
    ) {
        let contact = self.contacts.entry(name.clone()).or_default();
        *contact = Contact {
            heard: Some(now),
            paused_until: contact.paused_until,
            // An instance that leaves does not return, but for a new process of its name.
            leaving: leaving || (contact.leaving && contact.incarnation == incarnation),
            incarnation,
        };
    }

    /// Notes that an instance could not be reached.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, name: &InstanceName) {
        let contact = self.contacts.entry(name.clone()).or_default();
        contact.paused_until = now + UNREACHABLE_PAUSE;
    }

    /// Returns the instances of the list.
    pub fn all(&self) -> &[ListedInstance] {
        &self.listed
    }

    /// Returns the instance with this name, also one whose entry has lapsed while it was heard.
    pub fn get(&self, name: &InstanceName) -> Option<&ListedInstance> {
        self.listed
            .iter()
            .chain(&self.lapsed)
            .find(|instance| instance.id.name == *name)
    }

    /// Returns the instances of a region that need the others' messages: those that are not leaving,
    /// and those that are still heard though their entries in the store have lapsed.
    pub fn status_receivers_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
    ) -> impl Iterator<Item = &ListedInstance> {
        let lapsed = self.lapsed.iter().filter(move |instance| {
            instance.region == *region && self.is_heard(now, &instance.id.name)
        });
        self.active_in(region).chain(lapsed)
    }

    /// Returns the names of the instances of a region that are not leaving.
    pub fn active_names_in(&self, region: &RegionName) -> Vec<InstanceName> {
        self.active_in(region)
            .map(|instance| instance.id.name.clone())
            .collect()
    }

    /// Returns the instances of a region that are not leaving.
    pub fn active_in(&self, region: &RegionName) -> impl Iterator<Item = &ListedInstance> {
        self.listed
            .iter()
            .filter(move |instance| instance.region == *region && !self.is_leaving(instance))
    }

    /// Returns the regions that have instances.
    pub fn regions(&self) -> Set<RegionName> {
        self.listed
            .iter()
            .map(|instance| instance.region.clone())
            .collect()
    }

    /// Returns whether nothing was heard of an instance for long, though it was heard before.
    pub fn is_silent(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let heard = self.contacts.get(name).and_then(|contact| contact.heard);
        heard.is_some_and(|at| now.since(at) > SILENT_AFTER)
    }

    fn is_heard(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let heard = self.contacts.get(name).and_then(|contact| contact.heard);
        heard.is_some_and(|at| now.since(at) <= SILENT_AFTER)
    }

    /// Returns the instances of another region to which the state of the own one is told.
    ///
    /// Only leaders send to other regions, so the one heard last leads there. While none is heard,
    /// the first by name and others by `turn` are tried: who leads there is not known, and an
    /// instance that was silent once may lead again.
    pub fn leader_candidates_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        turn: usize,
    ) -> Vec<&ListedInstance> {
        let staying: Vec<&ListedInstance> = self.active_in(region).collect();
        let last_heard = staying
            .iter()
            .filter_map(|instance| {
                let heard = self.contacts.get(&instance.id.name)?.heard?;
                (now.since(heard) <= SILENT_AFTER).then_some((heard, *instance))
            })
            .max_by_key(|(heard, _)| *heard);
        if let Some((_, instance)) = last_heard {
            return vec![instance];
        }
        let others = staying.len().saturating_sub(1);
        let turning = (0..TRIED_AT_ONCE.min(others))
            .map(|n| staying[1 + (turn * TRIED_AT_ONCE + n) % others]);
        staying
            .first()
            .copied()
            .into_iter()
            .chain(turning)
            .collect()
    }

    /// Returns the instance of `region` that takes what `sender` passes there.
    ///
    /// Senders spread over the instances of the region, and each keeps to one, so that its link
    /// stays open. `avoid` names instances that failed the request.
    pub fn forward_target_in(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        sender: &InstanceName,
        avoid: &[InstanceName],
    ) -> Option<&ListedInstance> {
        self.active_in(region)
            .filter(|instance| !avoid.contains(&instance.id.name))
            .filter(|instance| !self.in_backoff(now, &instance.id.name))
            .max_by_key(|instance| stable_hash(&[sender.as_str(), instance.id.name.as_str()]))
    }

    /// Returns whether any instance of `region` may be reached, whatever failed a single request.
    pub fn has_reachable_instance(&self, now: MonotonicTime, region: &RegionName) -> bool {
        self.active_in(region)
            .any(|instance| !self.in_backoff(now, &instance.id.name))
    }

    /// Returns the instances of `region` that may lend from the region's pool of an organisation's
    /// rate: its keeper and, in a large region, a deputy for those that cannot reach the keeper.
    ///
    /// A keeper that is cut off lends to itself at most. In a large region its own callers are few,
    /// so that a deputy beside it exceeds the rate by little.
    pub fn pool_owners_in(
        &self,
        region: &RegionName,
        organisation: &OrganisationId,
    ) -> Vec<&ListedInstance> {
        let mut staying: Vec<&ListedInstance> = self.active_in(region).collect();
        let keepers = if staying.len() >= DEPUTY_REGION { 2 } else { 1 };
        staying.sort_by_cached_key(|instance| {
            Reverse(stable_hash(&[
                organisation.as_str(),
                instance.id.name.as_str(),
            ]))
        });
        staying.truncate(keepers);
        staying
    }

    /// Returns whether a question to an instance is worth its time.
    ///
    /// Of one that could not be reached, only one question at a time finds out whether it is back.
    pub fn allow_call(&mut self, now: MonotonicTime, name: &InstanceName) -> bool {
        let Some(contact) = self.contacts.get_mut(name) else {
            return true;
        };
        if now < contact.paused_until {
            return false;
        }
        if contact.paused_until > MonotonicTime(0) {
            contact.paused_until = now + UNREACHABLE_PAUSE;
        }
        true
    }

    /// Notes that an instance answered.
    pub fn mark_reachable(&mut self, name: &InstanceName) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.paused_until = MonotonicTime(0);
        }
    }

    /// Returns whether an instance could not be reached a moment ago.
    pub fn in_backoff(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| now < contact.paused_until)
    }

    /// Returns where callers of a place may connect: instances of their failure domain, or else
    /// of their region, or else of any.
    pub fn addresses_for(
        &self,
        now: MonotonicTime,
        own: &InstanceName,
        region: &RegionName,
        domain: &DomainName,
    ) -> Vec<SocketAddr> {
        let usable: Vec<&ListedInstance> = self
            .listed
            .iter()
            .filter(|instance| !self.is_leaving(instance))
            .filter(|instance| instance.id.name == *own || !self.is_silent(now, &instance.id.name))
            .collect();
        let near: [&dyn Fn(&ListedInstance) -> bool; 3] = [
            &|instance| instance.region == *region && instance.domain == *domain,
            &|instance| instance.region == *region,
            &|_| true,
        ];
        near.iter()
            .map(|is_near| {
                usable
                    .iter()
                    .filter(|instance| is_near(instance))
                    .take(MOST_ADDRESSES)
                    .map(|instance| instance.caller_address)
                    .collect::<Vec<_>>()
            })
            .find(|found| !found.is_empty())
            .unwrap_or_default()
    }

    fn is_leaving(&self, instance: &ListedInstance) -> bool {
        self.contacts.get(&instance.id.name).is_some_and(|contact| {
            contact.leaving && contact.incarnation == instance.id.incarnation.0
        })
    }
}
