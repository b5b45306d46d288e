//! Answer of the store to an instance without a bundle.

use crate::BundleId;

/// Answer of the store to an instance that starts without a bundle and asks for the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStoreAnswer {
    /// The store has a head, which names this bundle.
    Head(BundleId),
    /// The store has no head, because no bundle was ever accepted.
    NoBundle,
    /// The store has not answered yet.
    Pending,
    /// The store cannot be reached, or did not answer in time.
    Unreachable,
}
