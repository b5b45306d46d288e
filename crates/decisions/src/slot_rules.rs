//! Rules for claiming, taking over and releasing slots.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    DomainSlots, InstanceId, InstanceName, InstanceRecord, InstanceState, LoanTerms, SlotIndex,
    SlotRecord,
};

/// Rules for the slots of one failure domain, based on the platform's list of instances.
///
/// The list must be read after the slot records that it is applied to. A list read earlier may
/// report the end of a process whose successor of the same name now holds the slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRules<'a> {
    /// Instances of the failure domain according to the platform's list.
    pub instances: &'a [InstanceRecord],
    /// Longest time by which the list may be out of date.
    pub list_lag: Duration,
    /// Address on which this process listens for other instances.
    pub address: SocketAddr,
    /// Time since this process started to listen on `address`.
    ///
    /// Any earlier process at this address ended at least this long ago.
    pub uptime: Duration,
}

impl SlotRules<'_> {
    /// Returns whether `instance` may take over the slot of the holder in `record`.
    ///
    /// A holder of another name must be listed as gone, because an instance that is absent from the
    /// list may still run.
    ///
    /// A restarted instance may take over the slots of its earlier incarnation at the same address,
    /// which must have ended before the address could be bound again. An instance of the same name
    /// at another address may run beside a paused or disconnected process, so it may not take over.
    ///
    /// In both cases, the holder must have ended longer ago than the list's lag and the longest
    /// loan, so that all loans from it have ended.
    pub fn may_take_over(&self, record: &SlotRecord, instance: &InstanceId) -> bool {
        let wait = self.list_lag + LoanTerms::MAX_LENDER_DURATION;
        let holder = &record.holder;
        if holder.name == instance.name {
            return holder != instance && self.is_own_address(record.address) && self.uptime > wait;
        }
        self.is_listed_as_gone(&holder.name, wait)
    }

    /// Returns whether `instance` may claim slots.
    ///
    /// It must have been listed as live for longer than the list may be out of date, so that every
    /// instance's current list contains it.
    pub fn may_claim_slots(&self, instance: &InstanceId) -> bool {
        self.instances
            .iter()
            .any(|entry| entry.name == instance.name && self.is_live_in_every_list(entry))
    }

    /// Returns whether every instance's current list reports `entry` as live.
    fn is_live_in_every_list(&self, entry: &InstanceRecord) -> bool {
        entry.state == InstanceState::Live
            && Duration::from_millis(entry.state_age_ms) > self.list_lag
    }

    /// Returns whether a holder at `address` must have ended, because this process listens there.
    ///
    /// An unspecified address can be bound on every host, so it doesn't identify a process.
    fn is_own_address(&self, address: Option<SocketAddr>) -> bool {
        address == Some(self.address) && !self.address.ip().is_unspecified()
    }

    /// Returns whether the list reports the instance as gone for longer than `wait`.
    fn is_listed_as_gone(&self, name: &InstanceName, wait: Duration) -> bool {
        self.instances.iter().any(|entry| {
            entry.name == *name
                && entry.state == InstanceState::Gone
                && Duration::from_millis(entry.state_age_ms) > wait
        })
    }

    /// Returns how many slots `instance` should release to even out the slots per instance.
    ///
    /// Every instance runs the same calculation: it assigns the free slots to the instances with
    /// the fewest slots, then moves slots from the instance with the most to the one with the
    /// fewest until no two differ by more than one.
    pub fn slots_to_release(&self, slots: &DomainSlots, instance: &InstanceId) -> usize {
        let mut counts: BTreeMap<&InstanceName, usize> = self
            .instances
            .iter()
            .filter(|entry| self.is_live_in_every_list(entry))
            .map(|entry| (&entry.name, 0))
            .collect();
        for record in slots.slots.values() {
            if let Some(count) = counts.get_mut(&record.holder.name) {
                *count += 1;
            }
        }
        for _ in slots.slots.len()..usize::from(SlotIndex::COUNT) {
            if let Some(fewest) = counts.values_mut().min() {
                *fewest += 1;
            }
        }
        let mut surplus = 0;
        loop {
            let most = counts.iter().max_by_key(|(_, count)| **count);
            let fewest = counts.iter().min_by_key(|(_, count)| **count);
            let (Some((most, high)), Some((fewest, low))) = (most, fewest) else {
                return 0;
            };
            if high - low <= 1 {
                return surplus;
            }
            let (most, fewest) = (*most, *fewest);
            surplus += usize::from(*most == instance.name);
            counts.entry(most).and_modify(|count| *count -= 1);
            counts.entry(fewest).and_modify(|count| *count += 1);
        }
    }

    /// Returns the slots that `instance` should claim.
    ///
    /// Every instance runs the same calculation: it assigns each free slot, in ascending order, to
    /// the live instance with the fewest slots. Concurrent claims thus differ and are evenly
    /// spread.
    pub fn slots_to_claim(&self, slots: &DomainSlots, instance: &InstanceId) -> Vec<SlotIndex> {
        if !self.may_claim_slots(instance) {
            return Vec::new();
        }
        let mut counts: BTreeMap<&InstanceName, usize> = self
            .instances
            .iter()
            .filter(|entry| entry.state == InstanceState::Live)
            .map(|entry| (&entry.name, 0))
            .collect();
        let mut free = Vec::new();
        for slot in SlotIndex::all() {
            match slots.slots.get(&slot) {
                Some(record) if !self.may_take_over(record, instance) => {
                    if let Some(count) = counts.get_mut(&record.holder.name) {
                        *count += 1;
                    }
                }
                _ => free.push(slot),
            }
        }
        let mut claims = Vec::new();
        for slot in free {
            let Some((name, count)) = counts.iter_mut().min_by_key(|(_, count)| **count) else {
                break;
            };
            *count += 1;
            if **name == instance.name {
                claims.push(slot);
            }
        }
        claims
    }
}
