//! Key of an entry in the load view.

use crate::{BackendName, DomainName, RouteTarget};

/// Backend server, or all servers of a failure domain that serve a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LoadKey {
    /// One backend server.
    Backend(BackendName),
    /// All servers of a domain that serve the target, as one entry for other domains.
    Domain(DomainName, RouteTarget),
}
