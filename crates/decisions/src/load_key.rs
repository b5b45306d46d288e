//! What a load entry is about.

use crate::{BackendName, DomainName, RouteTarget};

/// Backend server, or all servers of a failure domain that serve a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LoadKey {
    /// One backend server.
    Backend(BackendName),
    /// The servers of a domain, as other domains see them.
    Domain(DomainName, RouteTarget),
}
