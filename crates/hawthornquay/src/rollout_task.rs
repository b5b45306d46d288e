//! Following of the operators' bundles.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BundleId, InstanceName, RolloutPeerAnswer, RolloutStartStep, RolloutStoreAnswer,
};
use hawthornquay_operators::load_head;
use hawthornquay_store::Revision;
use slog::info;

use crate::{
    Node, PlatformStore, clock,
    gossip::read_list,
    rollout_install::{follow_store, version_of},
    rollout_peers::{fetch_from, peer_answers},
};

const HEAD_KEY: &str = "bundle/head";

/// Longest wait of one watch; a silent watch costs nothing, because the head is also read.
const WATCH_WAIT: Duration = Duration::from_secs(20);

const TICK: Duration = Duration::from_millis(100);

/// Longest wait of a fresh instance for the head in the store.
const START_STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two tries to get a first bundle.
const START_RETRY: Duration = Duration::from_millis(300);

/// Gets the first bundle: the highest that the store or a peer of the failure domain vouches for.
pub async fn start_rollout(node: &Arc<Node>) {
    let began = clock::now();
    while node.bundle.active().is_none() {
        let (store, ()) = tokio::join!(store_answer(node), read_first_list(node));
        let peers = peer_answers(node).await;
        let answers: Vec<RolloutPeerAnswer> = peers.iter().map(|(_, answer)| *answer).collect();
        let waited = clock::now().since(began);
        match RolloutStartStep::decide(store, &answers, waited) {
            RolloutStartStep::InstallStoreHead(head) => {
                follow_store(node).await;
                if node.bundle.version() < head.version {
                    take_from_peer(node, &peers, head).await;
                }
            }
            RolloutStartStep::InstallFromPeer(held) => take_from_peer(node, &peers, held).await,
            RolloutStartStep::Wait => {}
        }
        if node.bundle.active().is_none() {
            info!(node.log.rollout, "no bundle yet"; "peers" => peers.len());
            tokio::time::sleep(START_RETRY).await;
        }
    }
}

async fn store_answer(node: &Node) -> RolloutStoreAnswer {
    let store = PlatformStore(&node.platform);
    match tokio::time::timeout(START_STORE_TIMEOUT, load_head(&store)).await {
        Ok(Ok(Some(stored))) => RolloutStoreAnswer::Head(version_of(&stored.head)),
        Ok(Ok(None)) => RolloutStoreAnswer::NoBundle,
        Ok(Err(_)) | Err(_) => RolloutStoreAnswer::Unreachable,
    }
}

async fn read_first_list(node: &Node) {
    if node.members.lock().others().next().is_none() {
        read_list(node).await;
    }
}

async fn take_from_peer(
    node: &Arc<Node>,
    peers: &[(InstanceName, RolloutPeerAnswer)],
    wanted: BundleId,
) {
    for (name, answer) in peers {
        let holds = matches!(
            answer,
            RolloutPeerAnswer::Holds { bundle, verified: true } if *bundle == wanted
        );
        if holds && fetch_from(node, name).await {
            return;
        }
    }
}

/// Reads the head whenever no watcher has confirmed it lately.
pub async fn run_rollout(node: Arc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        let due = node.rollout.lock().next_head_read_at(node.is_watcher());
        if clock::now() >= due {
            follow_store(&node).await;
        }
    }
}

/// Watches the head while this instance is one of its region's watchers.
pub async fn run_watch(node: Arc<Node>) {
    let mut after = Revision(0);
    loop {
        if !node.is_watcher() {
            tokio::time::sleep(TICK).await;
            continue;
        }
        match node.platform.watch(HEAD_KEY, after, WATCH_WAIT).await {
            Ok(changes) => {
                after = changes.revision;
                if !changes.changes.is_empty() {
                    follow_store(&node).await;
                }
            }
            Err(_) => tokio::time::sleep(TICK).await,
        }
    }
}
