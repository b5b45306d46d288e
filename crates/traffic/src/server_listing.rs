//! List of backend servers.

use crate::BackendEntry;

/// List of backend servers at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerListing {
    /// Revision of the store.
    pub revision: u64,
    /// Backend servers.
    pub servers: Vec<BackendEntry>,
}
