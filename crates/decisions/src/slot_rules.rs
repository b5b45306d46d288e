//! Rules by which slots change hands.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    InstanceId, InstanceName, InstanceRecord, InstanceState, LoanTerms, SlotDomain, SlotIndex,
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
    pub lag: Duration,
    /// Time since this process started to listen, by which earlier processes of its name ended.
    pub running_for: Duration,
}

impl SlotRules<'_> {
    /// Returns whether `instance` may take the slot of `holder`.
    ///
    /// An instance that is absent from the list may still run, so only a listed end counts. A
    /// restarted instance takes back the slots of its earlier incarnation, which must have ended
    /// before the address could be bound again.
    pub fn may_take_over(&self, holder: &InstanceId, instance: &InstanceId) -> bool {
        let wait = self.lag + LoanTerms::LONGEST;
        if holder.name == instance.name {
            return holder != instance && self.running_for > wait;
        }
        self.is_gone(&holder.name, wait)
    }

    /// Returns whether `instance` is listed as live for so long that no current list omits it.
    pub fn may_claim(&self, instance: &InstanceId) -> bool {
        self.instances.iter().any(|entry| {
            entry.name == instance.name
                && entry.state == InstanceState::Live
                && Duration::from_millis(entry.state_age_ms) > self.lag
        })
    }

    fn is_gone(&self, name: &InstanceName, wait: Duration) -> bool {
        self.instances.iter().any(|entry| {
            entry.name == *name
                && entry.state == InstanceState::Gone
                && Duration::from_millis(entry.state_age_ms) > wait
        })
    }

    /// Returns the slots that `instance` should claim.
    ///
    /// Every instance deals the free slots in the same order to the live instance that has fewest,
    /// so that concurrent claims differ and end evenly spread.
    pub fn claims(&self, slots: &SlotDomain, instance: &InstanceId) -> Vec<SlotIndex> {
        if !self.may_claim(instance) {
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
                Some(record) if !self.may_take_over(&record.holder, instance) => {
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
