//! Answer that began to a request with a suspected prompt part.

use crate::{MonotonicTime, PartId};

/// Latest time at which a backend server began to answer a request with a suspected part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartStart {
    /// Part that does not crash backend servers.
    pub part: PartId,
    /// Time at which the answer began.
    pub at: MonotonicTime,
}
