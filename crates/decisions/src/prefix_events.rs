//! Batch of cache events.

use serde::{Deserialize, Serialize};

use crate::PrefixEvent;

/// Cache events that an engine returns for one poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixEvents {
    /// Events in order; some may be missing.
    pub events: Vec<PrefixEvent>,
    /// Value of `after` for the next poll.
    pub next: u64,
}
