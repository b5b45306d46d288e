//! Held slots of one failure domain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{SlotIndex, SlotRecord};

/// Value of `limits/<domain>` in the store, as JSON; a slot without a record is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSlots {
    /// Records of the held slots.
    pub slots: BTreeMap<SlotIndex, SlotRecord>,
}
