//! Answer of a peer to a fresh instance.

use crate::BundleId;

/// What a fresh instance knows about the bundle of a peer in its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPeerAnswer {
    /// The peer holds no bundle, or cannot be reached.
    Unavailable,
    /// The peer has not answered yet.
    Pending,
    /// The peer holds a bundle.
    Holds {
        /// The bundle.
        bundle: BundleId,
        /// Whether its signatures satisfy the trust of the settings.
        verified: bool,
    },
}
