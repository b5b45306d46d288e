//! Claims, confirmations and releases of slots by the limit table.

use crate::{
    DomainSlots, LimitShare, LimitTable, MonotonicTime, SlotIndex, SlotRecord, SlotRelease,
    SlotRules, slot_handover::SlotHandover,
};

/// Largest number of slots that an instance releases at the same time for other instances.
///
/// The organisations of these slots start with empty buckets at the new slot holder, so only a few
/// slots are moved at once.
const MAX_CONCURRENT_HANDOVERS: usize = 4;

impl LimitTable {
    /// Returns whether [`Self::plan_slots`] would return an entry.
    pub fn has_slot_plan(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> bool {
        self.next_entry(rules, now).is_some()
    }

    /// Returns the store entry that this instance should write for its failure domain, if any.
    ///
    /// The entry claims free slots, takes over slots of ended holders, confirms the split in use,
    /// adds this instance's address to records that lack it, and releases slots that other
    /// instances should hold. From this call on, nothing is spent from the released slots. The
    /// write must be a compare-and-swap against the entry in the last snapshot given to
    /// [`Self::adopt_slots`].
    ///
    /// While the store may lack slots that it confirmed before it came back from an older copy, the
    /// entry only writes back the slots that this instance holds.
    pub fn plan_slots(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> Option<DomainSlots> {
        let next = self.next_entry(rules, now)?;
        let mut stopped = false;
        for (slot, state) in &mut self.handovers {
            if !next.slots.contains_key(slot) {
                *state = SlotHandover::Stopped;
                stopped = true;
            }
        }
        if stopped {
            self.update_slices(now);
        }
        Some(next)
    }

    fn next_entry(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> Option<DomainSlots> {
        if self.releasing_all || self.version == 0 {
            return None;
        }
        let current = self
            .snapshot
            .domains
            .get(&self.domain)
            .cloned()
            .unwrap_or_default();
        let mut next = current.clone();
        if self.is_recovering() {
            self.write_back_slots(&mut next);
            return (next != current).then_some(next);
        }
        for slot in rules.slots_to_claim(&current, &self.instance) {
            if self.highest_split_version(slot) <= self.version {
                next.slots.insert(slot, self.new_record(rules));
            }
        }
        let held: Vec<SlotIndex> = self.held.keys().copied().collect();
        for slot in held {
            if self.should_confirm_split(slot, now) {
                next.slots.insert(slot, self.new_record(rules));
            } else if let Some(record) = next.slots.get_mut(&slot) {
                record.address = Some(rules.address);
            }
        }
        self.update_handovers(rules.slots_to_release(&current, &self.instance));
        for slot in self.drained_slots(now) {
            next.slots.remove(&slot);
        }
        (next != current).then_some(next)
    }

    /// Writes back the slots that this instance holds, and releases those that only the copy of the
    /// store attributes to it.
    fn write_back_slots(&self, next: &mut DomainSlots) {
        for slot in SlotIndex::all() {
            let listed = next.slots.get(&slot);
            let is_own = listed.is_some_and(|record| record.holder == self.instance);
            match self.held.get(&slot) {
                Some(held) if !is_own => {
                    next.slots.insert(slot, held.record.clone());
                }
                None if is_own => {
                    next.slots.remove(&slot);
                }
                _ => {}
            }
        }
    }

    /// Starts or cancels handovers, so that `surplus` slots are released, a few at a time.
    fn update_handovers(&mut self, surplus: usize) {
        let wanted = surplus.min(MAX_CONCURRENT_HANDOVERS);
        let mut draining: Vec<SlotIndex> = self.handovers.keys().copied().collect();
        draining.retain(|slot| self.handovers[slot] == SlotHandover::Draining);
        draining.sort_unstable();
        for slot in draining.iter().skip(wanted) {
            self.handovers.remove(slot);
        }
        let mut others: Vec<SlotIndex> = self.held.keys().copied().collect();
        others.retain(|slot| !self.handovers.contains_key(slot));
        others.sort_unstable();
        let more = wanted.saturating_sub(self.handovers.len());
        for slot in others.into_iter().rev().take(more) {
            self.handovers.insert(slot, SlotHandover::Draining);
        }
    }

    /// Returns the slots being handed over from which nothing is lent any more.
    fn drained_slots(&mut self, now: MonotonicTime) -> Vec<SlotIndex> {
        let mut drained: Vec<SlotIndex> = self.handovers.keys().copied().collect();
        for state in self.organisations.values_mut() {
            let Some(slice) = &mut state.slice else {
                continue;
            };
            if !self.handovers.contains_key(&state.slot) {
                continue;
            }
            slice.advance(now);
            if slice.last_loan_end().is_some() {
                drained.retain(|slot| *slot != state.slot);
            }
        }
        drained
    }

    /// Decides the next step of releasing all slots at shutdown.
    ///
    /// From the first call on, nothing is spent from the slices and no loan is granted.
    pub fn release_slots(&mut self, now: MonotonicTime) -> SlotRelease {
        self.releasing_all = true;
        for state in self.organisations.values_mut() {
            if let Some(slice) = &mut state.slice {
                slice.set_total(LimitShare::default(), now);
            }
        }
        if self.held.is_empty() {
            return SlotRelease::Done;
        }
        let wait = self.time_until_loans_end(now);
        if !wait.is_zero() {
            return SlotRelease::Wait(wait);
        }
        let mut next = self
            .snapshot
            .domains
            .get(&self.domain)
            .cloned()
            .unwrap_or_default();
        next.slots
            .retain(|_, record| record.holder != self.instance);
        SlotRelease::Write(next)
    }

    /// Returns whether to confirm the current split of a slot.
    ///
    /// A confirmation is due if the share of an organisation in the slot changed, another holder
    /// has confirmed a later split, or a version was skipped. It waits until no organisation has
    /// more lent than its new share.
    fn should_confirm_split(&mut self, slot: SlotIndex, now: MonotonicTime) -> bool {
        let Some(confirmed) = self.domain_record(slot).map(|record| record.split) else {
            return false;
        };
        let behind = self.highest_split_version(slot) > confirmed;
        let mut changed = false;
        for state in self.organisations.values_mut() {
            if state.slot != slot {
                continue;
            }
            changed |= state.changed_after(confirmed);
            let share = state.share_history.last().map(|(_, share)| *share);
            let Some(slice) = &mut state.slice else {
                continue;
            };
            slice.advance(now);
            if !slice.lent_share().fits_in(share.unwrap_or_default()) {
                return false;
            }
        }
        let unknown = confirmed < self.contiguous_from;
        confirmed < self.version && (behind || changed || unknown)
    }

    fn new_record(&self, rules: &SlotRules<'_>) -> SlotRecord {
        SlotRecord {
            holder: self.instance.clone(),
            split: self.version,
            address: Some(rules.address),
        }
    }
}
