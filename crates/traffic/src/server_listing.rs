//! List of backend servers at one store revision.

use crate::{BackendEntry, StoreRevision};

/// List of backend servers at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerListing {
    /// Store revision of the list.
    pub revision: StoreRevision,
    /// Listed backend servers.
    pub servers: Vec<BackendEntry>,
}
