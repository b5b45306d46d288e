//! Exchange of bundles between instances.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use hawthornquay_decisions::{InstanceId, InstanceName, RolloutPeerAnswer, RolloutStep};
use hawthornquay_instances::{BundleContent, BundleDelta, BundleFetch, Notice, PeerAddress};
use hawthornquay_operators::{BundleDocument, BundleHead, StoredDifference};
use slog::info;

use crate::{
    Node,
    gossip::handle_digest,
    rollout_install::{bundle_id, offer_content, offer_difference},
    start_hint::{START_HINT_VERSION, apply_start_hint},
};

/// Size of one part of a bundle that is sent to another instance, in bytes.
const BUNDLE_PART_BYTES: usize = 512 << 10;

/// Time-out of a request for one part of a bundle.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Part number that no bundle has; the answer contains only the head.
const HEAD_ONLY_PART: u32 = u32::MAX;

/// Handles a message of another instance that needs no answer.
pub async fn handle_notice(node: &Arc<Node>, from: &InstanceId, notice: Notice) {
    match notice {
        Notice::Digest(digest) => handle_digest(node, from, &digest).await,
        Notice::BundleDelta(delta) if delta.version == START_HINT_VERSION => {
            apply_start_hint(node, &delta.delta);
        }
        // An instance without a bundle first queries the store and its peers for the highest
        // version.
        Notice::BundleDelta(_) if node.bundle.active().is_none() => {}
        Notice::BundleDelta(delta) => {
            let Ok(difference) = serde_json::from_slice::<StoredDifference>(&delta.delta) else {
                return;
            };
            if difference.head.version <= node.bundle.version() {
                return;
            }
            if !offer_difference(node, &difference).await {
                fetch_bundle_from(node, &from.name).await;
            }
        }
        // Only gateways that route services send these messages; they have no bundle.
        Notice::Status(_) | Notice::ViewRequest(_) | Notice::ViewUpdate(_) => {}
    }
}

/// Sends a difference on to the gossip partners, over links that are already open.
///
/// Each instance sends a difference on once, so it reaches almost all instances within a few hops.
/// The others learn of the version from digests.
pub async fn push_difference(node: &Arc<Node>, difference: &StoredDifference) {
    let Ok(delta) = serde_json::to_vec(difference) else {
        return;
    };
    let notice = Notice::BundleDelta(BundleDelta {
        version: difference.head.version,
        base_version: difference.head.version.saturating_sub(1),
        head: Bytes::new(),
        delta: delta.into(),
    });
    let partners = node.gossip_partners.lock().clone();
    let peers: Vec<PeerAddress> = partners
        .iter()
        .filter_map(|name| node.peer_named(name))
        .collect();
    join_all(
        peers
            .iter()
            .map(|peer| node.links.send(peer, notice.clone())),
    )
    .await;
}

/// Returns a part of the bundle in force, or an empty answer if its version is too low.
pub fn bundle_content(node: &Node, req: &BundleFetch) -> BundleContent {
    let Some(active) = node
        .bundle
        .active()
        .filter(|active| active.version() >= req.version)
    else {
        return BundleContent::default();
    };
    let text = active.document.canonical().as_bytes();
    let parts = text.len().div_ceil(BUNDLE_PART_BYTES).max(1);
    let part = text
        .chunks(BUNDLE_PART_BYTES)
        .nth(req.part as usize)
        .unwrap_or_default();
    BundleContent {
        version: active.version(),
        head: serde_json::to_vec(&active.head).unwrap_or_default().into(),
        part: req.part,
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        content: Bytes::copy_from_slice(part),
    }
}

/// Queries the other instances of the failure domain for the bundles that they have installed.
pub async fn query_peers(node: &Node) -> Vec<(InstanceName, RolloutPeerAnswer)> {
    let peers = node.domain_peers();
    join_all(peers.into_iter().map(|peer| async move {
        let head = fetch_head(node, &peer).await.flatten();
        let answer = head.map_or(RolloutPeerAnswer::Unavailable, |head| {
            RolloutPeerAnswer::Holds {
                bundle: bundle_id(&head),
                verified: node.settings.trust.verify_head(&head).is_ok(),
            }
        });
        (peer.name, answer)
    }))
    .await
}

/// Fetches the head of a peer's bundle.
///
/// Returns `None` if the peer does not answer, and `Some(None)` if it has no bundle.
pub async fn fetch_head(node: &Node, peer: &PeerAddress) -> Option<Option<BundleHead>> {
    let req = BundleFetch {
        version: 0,
        part: HEAD_ONLY_PART,
    };
    let content = node.links.call(peer, req, FETCH_TIMEOUT).await.ok()?;
    if content.version == 0 {
        return Some(None);
    }
    Some(Some(serde_json::from_slice(&content.head).ok()?))
}

/// Fetches a newer bundle from a peer and installs it; returns whether it was put in force.
pub async fn fetch_bundle_from(node: &Arc<Node>, name: &InstanceName) -> bool {
    let Some(peer) = node.peer_named(name) else {
        return false;
    };
    let Some((head, document)) = fetch_bundle(node, &peer).await else {
        info!(node.log.rollout, "bundle not fetched from peer"; "instance" => %name);
        return false;
    };
    offer_content(node, head, document) == RolloutStep::Install
}

async fn fetch_bundle(node: &Node, peer: &PeerAddress) -> Option<(BundleHead, BundleDocument)> {
    let wanted = node.bundle.version() + 1;
    let first = fetch_part(node, peer, wanted, 0).await?;
    let mut content = first.content.to_vec();
    for part in 1..first.parts {
        let next = fetch_part(node, peer, first.version, part).await?;
        if next.version != first.version {
            return None;
        }
        content.extend_from_slice(&next.content);
    }
    let head: BundleHead = serde_json::from_slice(&first.head).ok()?;
    let text = String::from_utf8(content).ok()?;
    let document = BundleDocument::read("bundle of a peer", &text).ok()?;
    Some((head, document))
}

async fn fetch_part(
    node: &Node,
    peer: &PeerAddress,
    version: u64,
    part: u32,
) -> Option<BundleContent> {
    let req = BundleFetch { version, part };
    let content = node.links.call(peer, req, FETCH_TIMEOUT).await.ok()?;
    (content.version >= version && content.parts > 0).then_some(content)
}
