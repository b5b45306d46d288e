//! Slots of the limit table.

use crate::{
    DomainSlots, LimitShare, LimitTable, MonotonicTime, SlotIndex, SlotRecord, SlotRelease,
    SlotRules, slot_handover::SlotHandover,
};

/// Slots that an instance hands back together.
///
/// Organisations of these slots start with empty buckets at the new holder.
const RETURNED_AT_ONCE: usize = 4;

impl LimitTable {
    /// Returns whether [`Self::plan_slots`] would return a value.
    pub fn has_slot_plan(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> bool {
        self.next_slots(rules, now).is_some()
    }

    /// Returns the value that this instance should write to its domain's entry, if any.
    ///
    /// From this call on, nothing is spent from the slots that the value frees. The write must be a compare-and-swap against the entry in the last adopted snapshot. It
    /// claims free slots, takes over those of ended holders, confirms the split in use adds the
    /// address to records that lack it, and frees slots of which others should have more.
    pub fn plan_slots(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> Option<DomainSlots> {
        let next = self.next_slots(rules, now)?;
        let mut stopped = false;
        for (slot, state) in &mut self.returning {
            if !next.slots.contains_key(slot) {
                *state = SlotHandover::Stopped;
                stopped = true;
            }
        }
        if stopped {
            self.apply(now);
        }
        Some(next)
    }

    fn next_slots(&mut self, rules: &SlotRules<'_>, now: MonotonicTime) -> Option<DomainSlots> {
        if self.releasing || self.version == 0 {
            return None;
        }
        let current = self
            .snapshot
            .domains
            .get(&self.domain)
            .cloned()
            .unwrap_or_default();
        let mut next = current.clone();
        for slot in rules.slots_to_claim(&current, &self.instance) {
            if self.highest_split(slot) <= self.version {
                next.slots.insert(slot, self.record(rules));
            }
        }
        let held: Vec<SlotIndex> = self.held.keys().copied().collect();
        for slot in held {
            if self.should_confirm(slot, now) {
                next.slots.insert(slot, self.record(rules));
            } else if let Some(record) = next.slots.get_mut(&slot) {
                record.address = Some(rules.address);
            }
        }
        self.choose_returns(rules.slots_to_release(&current, &self.instance));
        for slot in self.returned(now) {
            next.slots.remove(&slot);
        }
        (next != current).then_some(next)
    }

    /// Starts to hand back a few slots, or gives up what is no longer needed.
    fn choose_returns(&mut self, surplus: usize) {
        let wanted = surplus.min(RETURNED_AT_ONCE);
        let mut draining: Vec<SlotIndex> = self.returning.keys().copied().collect();
        draining.retain(|slot| self.returning[slot] == SlotHandover::Draining);
        draining.sort_unstable();
        for slot in draining.iter().skip(wanted) {
            self.returning.remove(slot);
        }
        let mut others: Vec<SlotIndex> = self.held.keys().copied().collect();
        others.retain(|slot| !self.returning.contains_key(slot));
        others.sort_unstable();
        let more = wanted.saturating_sub(self.returning.len());
        for slot in others.into_iter().rev().take(more) {
            self.returning.insert(slot, SlotHandover::Draining);
        }
    }

    /// Returns the slots on their way back from which no loan runs.
    fn returned(&mut self, now: MonotonicTime) -> Vec<SlotIndex> {
        let mut returned: Vec<SlotIndex> = self.returning.keys().copied().collect();
        for state in self.organisations.values_mut() {
            let Some(slice) = &mut state.slice else {
                continue;
            };
            if !self.returning.contains_key(&state.slot) {
                continue;
            }
            slice.advance(now);
            if slice.last_end().is_some() {
                returned.retain(|slot| *slot != state.slot);
            }
        }
        returned
    }

    /// Decides the next step of handing back all slots at shutdown.
    ///
    /// From the first call on, nothing is spent from the slices and no loan is granted.
    pub fn release_slots(&mut self, now: MonotonicTime) -> SlotRelease {
        self.releasing = true;
        for state in self.organisations.values_mut() {
            if let Some(slice) = &mut state.slice {
                slice.set_total(LimitShare::default(), now);
            }
        }
        if self.held.is_empty() {
            return SlotRelease::Done;
        }
        let wait = self.until_loans_end(now);
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

    /// Returns whether a holder waits for this confirmation, and no loan exceeds the new split.
    fn should_confirm(&mut self, slot: SlotIndex, now: MonotonicTime) -> bool {
        let Some(confirmed) = self.own_record(slot).map(|record| record.split) else {
            return false;
        };
        let behind = self.highest_split(slot) > confirmed;
        let mut changed = false;
        for state in self.organisations.values_mut() {
            if state.slot != slot {
                continue;
            }
            changed |= state.changed_since(confirmed);
            let share = state.history.last().map(|(_, share)| *share);
            let Some(slice) = &mut state.slice else {
                continue;
            };
            slice.advance(now);
            if !slice.lent().fits_in(share.unwrap_or_default()) {
                return false;
            }
        }
        let unknown = confirmed < self.known_from;
        confirmed < self.version && (behind || changed || unknown)
    }

    fn record(&self, rules: &SlotRules<'_>) -> SlotRecord {
        SlotRecord {
            holder: self.instance.clone(),
            split: self.version,
            address: Some(rules.address),
        }
    }
}
