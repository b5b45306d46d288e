//! Organisation in the bundle.

use crate::{OrganisationId, Residency};

/// Organisation with its limits and the places its data may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Identifier.
    pub id: OrganisationId,
    /// Rate in tokens per second over the whole fleet.
    pub rate: u64,
    /// Burst in tokens over the whole fleet.
    pub burst: u64,
    /// Places its data may go.
    pub residency: Residency,
}
