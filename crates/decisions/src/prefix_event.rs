//! Event in the prefix cache of a model engine.

use serde::{Deserialize, Serialize};

use crate::{PrefixEventKind, PrefixHash};

/// One change of the prefix cache of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixEvent {
    /// Sequence number; consecutive events of one engine differ by one.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: PrefixEventKind,
    /// Prefix that was stored or evicted.
    pub prefix: PrefixHash,
}
