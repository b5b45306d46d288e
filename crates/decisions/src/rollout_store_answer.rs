//! Answer of the store to a fresh instance.

use crate::BundleId;

/// What a fresh instance knows about the head in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStoreAnswer {
    /// The store holds this head.
    Head(BundleId),
    /// The store answered that no bundle was ever accepted.
    NoBundle,
    /// The store has not answered yet.
    Pending,
    /// The store cannot be reached, or gave no answer in time.
    Unreachable,
}
