//! Bundle offered by the store or a peer.

use crate::BundleId;

/// Offer of a bundle that an instance receives from the store or a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOffer {
    /// Whole content of a bundle.
    Content {
        /// Bundle that is offered.
        to: BundleId,
        /// Whether the content has the digest of `to`, and enough signatures by trusted signers.
        ///
        /// The installed bundle names the trusted signers; without one, the settings do.
        verified: bool,
    },
    /// Difference between two bundles.
    Difference {
        /// Bundle that the difference applies to.
        from: BundleId,
        /// Bundle that results from applying the difference.
        to: BundleId,
        /// Whether the result has the digest of `to`, and enough signatures by signers that the
        /// installed bundle names.
        ///
        /// Meaningful only if `from` is the installed bundle.
        verified: bool,
    },
    /// Head without content, from the store or from a peer's gossip digest.
    Head {
        /// Bundle that the head names.
        to: BundleId,
    },
}

impl RolloutOffer {
    /// Returns the offered bundle.
    pub const fn to(&self) -> BundleId {
        match self {
            Self::Content { to, .. } | Self::Difference { to, .. } | Self::Head { to } => *to,
        }
    }
}
