//! Number of a slot.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::OrganisationId;

/// Number of one of the slots that organisations hash to.
///
/// In each failure domain, at most one instance holds a slot. It owns the domain's share of the
/// limits of the organisations in the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotIndex(pub u8);

impl SlotIndex {
    /// Number of slots in each failure domain.
    pub const COUNT: u8 = 64;

    /// Returns the slot of an organisation, which is the same in every failure domain.
    pub fn of(organisation: &OrganisationId) -> Self {
        Self(Sha256::digest(organisation.as_str())[0] % Self::COUNT)
    }

    /// Returns all slots in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }
}
