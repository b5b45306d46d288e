//! Response to a watch.

use crate::{Change, StoreRevision};

/// Changes under a prefix, oldest first; empty if the waiting time expired without a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Revision to pass as `after` to the next watch.
    pub revision: StoreRevision,
    /// Latest change to each changed key.
    pub changes: Vec<Change>,
}
