//! Answer to a watch.

use crate::{Change, Revision};

/// Changes under a prefix, oldest first; empty if the waiting time ended first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Revision to watch after next.
    pub revision: Revision,
    /// Last change of each changed key.
    pub changes: Vec<Change>,
}
