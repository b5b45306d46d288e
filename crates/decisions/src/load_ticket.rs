//! Record of one send in the load view.

use crate::LoadKey;

/// Identifies one send, to report its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTicket {
    pub(crate) key: LoadKey,
    pub(crate) number: u64,
}
