//! Lines of a bundle that later checks refer to.

use hawthornquay_decisions::{BackendName, DomainName, Map, OrganisationId, Set};

/// Lines and names of the parts that are checked against each other.
///
/// Names of faulty parts are kept, so that one fault causes no further ones.
#[derive(Default)]
pub(crate) struct BundleLines {
    /// Names of all domains.
    pub(crate) domains: Set<DomainName>,
    /// Names of all services that backend servers offer.
    pub(crate) services: Set<String>,
    /// Header of each organisation.
    pub(crate) organisations: Map<OrganisationId, usize>,
    /// `residency` of each organisation.
    pub(crate) residencies: Map<OrganisationId, usize>,
    /// Header and `service` of each route, in the order of the bundle's routes.
    pub(crate) routes: Vec<(usize, usize)>,
    /// `address` of each backend server.
    pub(crate) backends: Map<BackendName, usize>,
}
