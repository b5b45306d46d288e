//! Event of an engine's prefix cache.

use serde::{Deserialize, Serialize};

use crate::{PrefixEventKind, PrefixHash};

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixEvent {
    /// Number of the event; consecutive events of one engine differ by one.
    pub sequence: u64,
    /// What happened.
    pub kind: PrefixEventKind,
    /// Prefix that it happened to.
    pub prefix: PrefixHash,
}
