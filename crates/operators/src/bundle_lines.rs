//! Line numbers of a bundle's sections and fields for the consistency checks.

use hawthornquay_decisions::{BackendName, DomainName, Map, OrganisationId, Set};

/// Names and line numbers of the sections that are checked against each other.
///
/// Names of sections with faults are included, so that one fault does not cause further ones in
/// the sections that refer to them.
#[derive(Default)]
pub(crate) struct BundleLines {
    /// Names of all failure domains.
    pub(crate) domains: Set<DomainName>,
    /// Names of all services that backend servers offer.
    pub(crate) services: Set<String>,
    /// Line of the header of each organisation.
    pub(crate) organisations: Map<OrganisationId, usize>,
    /// Line of the field `residency` of each organisation.
    pub(crate) residencies: Map<OrganisationId, usize>,
    /// Lines of the header and of the field `service` of each route, in the order of the bundle's
    /// routes.
    pub(crate) routes: Vec<(usize, usize)>,
    /// Line of the field `address` of each backend server.
    pub(crate) backends: Map<BackendName, usize>,
}
