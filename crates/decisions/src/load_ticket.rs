//! Handle of a sent request in the load view.

use crate::LoadKey;

/// Identifies a sent request, so that its end can be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTicket {
    pub(crate) key: LoadKey,
    pub(crate) number: u64,
}
