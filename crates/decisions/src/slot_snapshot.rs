//! Held slots of all failure domains.

use crate::{DomainName, DomainSlots, Map, SlotIndex, SlotRecord, StoreRevision};

/// All `limits/` entries of the store as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotSnapshot {
    /// Store revision at which the entries were read.
    pub revision: StoreRevision,
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
