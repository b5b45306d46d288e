//! Slots of all failure domains.

use crate::{DomainName, DomainSlots, Map, SlotIndex, SlotRecord};

/// All `limits/` entries as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotSnapshot {
    /// Revision of the store that the entries were read at.
    pub revision: u64,
    /// Entries by failure domain.
    pub domains: Map<DomainName, DomainSlots>,
}

impl SlotSnapshot {
    /// Returns the record of a slot in one failure domain.
    pub fn record(&self, domain: &DomainName, slot: SlotIndex) -> Option<&SlotRecord> {
        self.domains.get(domain)?.slots.get(&slot)
    }

    /// Returns the records of a slot in all failure domains.
    pub fn records(&self, slot: SlotIndex) -> impl Iterator<Item = (&DomainName, &SlotRecord)> {
        self.domains
            .iter()
            .filter_map(move |(domain, entry)| Some((domain, entry.slots.get(&slot)?)))
    }
}
