//! Offer of a bundle by the store or a peer.

use crate::BundleId;

/// What the store or a peer offers to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutOffer {
    /// Whole content.
    Content {
        /// Bundle that is offered.
        to: BundleId,
        /// Whether the content has the digest, and the signatures satisfy the trust of the held
        /// bundle or, without one, of the settings.
        verified: bool,
    },
    /// Difference between two bundles.
    Difference {
        /// Bundle that it applies to.
        from: BundleId,
        /// Bundle that it leads to.
        to: BundleId,
        /// Whether the signatures satisfy the trust of the held bundle, and the result has the
        /// digest; meaningful only if `from` is the held bundle.
        verified: bool,
    },
    /// Head without content, from the store or a peer's digest message.
    Head {
        /// Bundle that the head names.
        to: BundleId,
    },
}

impl RolloutOffer {
    /// Returns the bundle that is offered.
    pub const fn to(&self) -> BundleId {
        match self {
            Self::Content { to, .. } | Self::Difference { to, .. } | Self::Head { to } => *to,
        }
    }
}
