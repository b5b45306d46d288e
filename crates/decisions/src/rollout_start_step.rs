//! Start of a fresh instance.

use std::time::Duration;

use crate::{BundleId, RolloutPeerAnswer, RolloutStoreAnswer};

/// Time that a fresh instance without the store waits for its domain's peers.
const PEERS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a fresh instance does before it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStartStep {
    /// Takes the bundle of a peer.
    InstallFromPeer(BundleId),
    /// Takes the bundle that the store's head names, from the store or a peer.
    InstallStoreHead(BundleId),
    /// Waits for answers and asks again; it does not serve.
    Wait,
}

impl RolloutStartStep {
    /// Decides by the answers so far, `waited` after the peers were asked.
    ///
    /// A peer may hold a newer bundle than the store's answer names, because the answer may be
    /// older than the peer's; the instance must not begin below it.
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
                if waited >= PEERS_TIMEOUT || !peers.contains(&RolloutPeerAnswer::Pending) =>
            {
                Self::InstallFromPeer(bundle)
            }
            (RolloutStoreAnswer::NoBundle | RolloutStoreAnswer::Unreachable, _) => Self::Wait,
        }
    }
}
