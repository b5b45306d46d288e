//! Response to a poll for prefix cache events.

use serde::{Deserialize, Serialize};

use crate::PrefixEvent;

/// Prefix cache events that a model engine returns for one poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixEvents {
    /// Events in the order of their sequence numbers; some may be missing.
    pub events: Vec<PrefixEvent>,
    /// Value of the query parameter `after` for the next poll.
    pub next: u64,
}
