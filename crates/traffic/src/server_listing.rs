//! List of backend servers at one store revision.

use crate::BackendEntry;

/// List of backend servers at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerListing {
    /// Store revision of the list.
    pub revision: u64,
    /// Listed backend servers.
    pub servers: Vec<BackendEntry>,
}
