//! Organisation as defined in the bundle.

use crate::{OrganisationId, Residency};

/// Organisation with its rate limit and its data residency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Identifier of the organisation.
    pub id: OrganisationId,
    /// Rate in tokens per second over the whole fleet.
    pub rate: u64,
    /// Burst in tokens over the whole fleet.
    pub burst: u64,
    /// Regions to which the organisation's data may be sent.
    pub residency: Residency,
}
