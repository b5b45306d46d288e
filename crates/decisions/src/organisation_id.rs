//! Identifier of an organisation.

crate::define_name! {
    /// Identifies an organisation.
    OrganisationId
}
