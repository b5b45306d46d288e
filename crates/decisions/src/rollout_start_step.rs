//! Step of an instance that starts without a bundle.

use std::time::Duration;

use crate::{BundleId, RolloutPeerAnswer, RolloutStoreAnswer};

/// Time that an instance waits for pending peers of its failure domain if the store names no
/// bundle.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Step of an instance that starts without a bundle; it serves no requests until it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStartStep {
    /// Installs the bundle of a peer.
    InstallFromPeer(BundleId),
    /// Installs the bundle that the store's head names, fetched from the store or a peer.
    InstallStoreHead(BundleId),
    /// Waits, and then asks the store and the peers again.
    Wait,
}

impl RolloutStartStep {
    /// Returns the step for the answers so far; `waited` is the time since the start.
    ///
    /// A peer may have a newer bundle than the store's answer names, because the store may have
    /// answered earlier. The instance must not start with a lower version than that of the peer.
    pub fn decide(
        store: RolloutStoreAnswer,
        peers: &[RolloutPeerAnswer],
        waited: Duration,
    ) -> Self {
        let best = peers
            .iter()
            .filter_map(|peer| match peer {
                RolloutPeerAnswer::Holds {
                    bundle,
                    verified: true,
                } => Some(*bundle),
                _ => None,
            })
            .max_by_key(|bundle| bundle.version);
        match (store, best) {
            (RolloutStoreAnswer::Pending, _) => Self::Wait,
            (RolloutStoreAnswer::Head(head), Some(bundle)) if bundle.version > head.version => {
                Self::InstallFromPeer(bundle)
            }
            (RolloutStoreAnswer::Head(head), _) => Self::InstallStoreHead(head),
            (RolloutStoreAnswer::NoBundle | RolloutStoreAnswer::Unreachable, Some(bundle))
                if waited >= PEER_ANSWER_TIMEOUT
                    || !peers.contains(&RolloutPeerAnswer::Pending) =>
            {
                Self::InstallFromPeer(bundle)
            }
            (RolloutStoreAnswer::NoBundle | RolloutStoreAnswer::Unreachable, _) => Self::Wait,
        }
    }
}
