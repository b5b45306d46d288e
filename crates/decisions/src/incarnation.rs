//! Incarnation number of an instance.

use serde::{Deserialize, Serialize};

/// Random number that an instance draws at process start.
///
/// It distinguishes a restarted process from its predecessor of the same name. Incarnations have
/// no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
