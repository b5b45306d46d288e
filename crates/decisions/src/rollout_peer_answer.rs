//! Answer of a peer to an instance without a bundle.

use crate::BundleId;

/// Answer of a peer in the same failure domain to an instance that starts without a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPeerAnswer {
    /// The peer has no bundle, or cannot be reached.
    Unavailable,
    /// The peer has not answered yet.
    Pending,
    /// The peer has a bundle.
    Holds {
        /// Bundle that the peer has installed.
        bundle: BundleId,
        /// Whether the bundle has enough signatures by signers that the settings name.
        verified: bool,
    },
}
