//! Key of an entry in the load view.

use crate::{BackendName, DomainName, RouteTarget};

/// Backend server, or all servers of a failure domain that serve a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LoadKey {
    /// One backend server.
    Backend(BackendName),
    /// All servers of another failure domain that serve the target, aggregated into one entry.
    Domain(DomainName, RouteTarget),
}
