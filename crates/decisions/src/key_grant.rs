//! Caller key as configured in the bundle.

use crate::OrganisationId;

/// Caller key that operators granted to an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Name by which operators refer to the key.
    pub name: String,
    /// Organisation that owns the key.
    pub organisation: OrganisationId,
}
