//! Slots of one failure domain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{SlotIndex, SlotRecord};

/// Value of `limits/<domain>` in the store, as JSON; a slot without an entry is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSlots {
    /// Held slots.
    pub slots: BTreeMap<SlotIndex, SlotRecord>,
}
