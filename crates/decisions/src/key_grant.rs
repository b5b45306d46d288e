//! Key of an organisation in the bundle.

use crate::OrganisationId;

/// Key that operators granted to an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Name that operators know the key by.
    pub name: String,
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
}
