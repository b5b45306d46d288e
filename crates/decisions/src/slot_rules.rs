//! Rules by which slots change hands.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    DomainSlots, InstanceId, InstanceName, InstanceRecord, InstanceState, LoanTerms, SlotIndex,
    SlotRecord,
};

/// What the platform says about the instances of one failure domain.
///
/// The list must be read after the slot record that it is applied to. A list read earlier may
/// report the end of a former process whose successor of the same name now holds the slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRules<'a> {
    /// Instances of the failure domain in the platform's list.
    pub instances: &'a [InstanceRecord],
    /// Time by which the list may lag.
    pub list_lag: Duration,
    /// Address of this process for other instances.
    pub address: SocketAddr,
    /// Time since this process started to listen, by which earlier processes at its address ended.
    pub uptime: Duration,
}

impl SlotRules<'_> {
    /// Returns whether `instance` may take the slot of the holder in `record`.
    ///
    /// An instance that is absent from the list may still run, so only a listed end counts. A
    /// restarted instance takes back the slots of its earlier incarnation at the same address, which
    /// must have ended before the address could be bound again. A replacement of the same name at
    /// another address may run beside a paused or cut-off process, so it waits for the listed end.
    pub fn may_take_over(&self, record: &SlotRecord, instance: &InstanceId) -> bool {
        let wait = self.list_lag + LoanTerms::MAX_LENDER_DURATION;
        let holder = &record.holder;
        if holder.name == instance.name {
            return holder != instance && self.is_own_address(record.address) && self.uptime > wait;
        }
        self.is_gone(&holder.name, wait)
    }

    /// Returns whether `instance` is listed as live for so long that no current list omits it.
    pub fn may_claim_slots(&self, instance: &InstanceId) -> bool {
        self.instances
            .iter()
            .any(|entry| entry.name == instance.name && self.is_settled(entry))
    }

    fn is_settled(&self, entry: &InstanceRecord) -> bool {
        entry.state == InstanceState::Live
            && Duration::from_millis(entry.state_age_ms) > self.list_lag
    }

    /// Returns whether binding the own address proves that a holder at `address` has ended.
    ///
    /// An unspecified address is bound on every host, so it identifies no process.
    fn is_own_address(&self, address: Option<SocketAddr>) -> bool {
        address == Some(self.address) && !self.address.ip().is_unspecified()
    }

    fn is_gone(&self, name: &InstanceName, wait: Duration) -> bool {
        self.instances.iter().any(|entry| {
            entry.name == *name
                && entry.state == InstanceState::Gone
                && Duration::from_millis(entry.state_age_ms) > wait
        })
    }

    /// Returns how many slots `instance` should hand back, so that others get their share.
    ///
    /// Every instance first deals the free slots as in [`Self::slots_to_claim`], then moves slots from the
    /// instance that has most to the one that has fewest until no two differ by more than one.
    pub fn slots_to_release(&self, slots: &DomainSlots, instance: &InstanceId) -> usize {
        let mut counts: BTreeMap<&InstanceName, usize> = self
            .instances
            .iter()
            .filter(|entry| self.is_settled(entry))
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
    /// Every instance deals the free slots in the same order to the live instance that has fewest,
    /// so that concurrent claims differ and end evenly spread.
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
