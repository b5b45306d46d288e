//! Background tasks that keep the bundle current.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BundleId, InstanceName, RolloutPeerAnswer, RolloutStartStep, RolloutStoreAnswer,
};
use hawthornquay_operators::load_head;
use hawthornquay_store::{PlatformError, StoreRevision};
use slog::info;

use crate::{
    Node, PlatformStore, clock,
    gossip::update_instance_list,
    rollout_install::{bundle_id, update_from_store},
    rollout_peers::{fetch_bundle_from, query_peers},
};

/// Key of the bundle's signed head in the store.
const HEAD_KEY: &str = "bundle/head";

/// Longest time for which one watch waits for a change.
///
/// A watch that misses a change does no harm, because the head is also read at intervals.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the tasks evaluate whether a read or a watch is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which an instance without a bundle waits for the store's head.
const STORE_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between two attempts to install the first bundle.
const START_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Installs the first bundle: the highest version that the store or a peer of the failure domain
/// has.
pub async fn install_first_bundle(node: &Arc<Node>) {
    let began = clock::now();
    while node.bundle.active().is_none() {
        let (store, ()) = tokio::join!(query_store(node), read_instance_list_if_empty(node));
        let peers = query_peers(node).await;
        let answers: Vec<RolloutPeerAnswer> = peers.iter().map(|(_, answer)| *answer).collect();
        let waited = clock::now().since(began);
        match RolloutStartStep::decide(store, &answers, waited) {
            RolloutStartStep::InstallStoreHead(head) => {
                update_from_store(node).await;
                if node.bundle.version() < head.version {
                    install_from_peer(node, &peers, head).await;
                }
            }
            RolloutStartStep::InstallFromPeer(held) => install_from_peer(node, &peers, held).await,
            RolloutStartStep::Wait => {}
        }
        if node.bundle.active().is_none() {
            info!(node.log.rollout, "no bundle installed yet, will retry"; "peers" => peers.len());
            tokio::time::sleep(START_RETRY_DELAY).await;
        }
    }
}

async fn query_store(node: &Node) -> RolloutStoreAnswer {
    let store = PlatformStore(&node.platform);
    match tokio::time::timeout(STORE_QUERY_TIMEOUT, load_head(&store)).await {
        Ok(Ok(Some(stored))) => RolloutStoreAnswer::Head(bundle_id(&stored.head)),
        Ok(Ok(None)) => RolloutStoreAnswer::NoBundle,
        Ok(Err(_)) | Err(_) => RolloutStoreAnswer::Unreachable,
    }
}

async fn read_instance_list_if_empty(node: &Node) {
    if node.members.lock().others().next().is_none() {
        update_instance_list(node).await;
    }
}

async fn install_from_peer(
    node: &Arc<Node>,
    peers: &[(InstanceName, RolloutPeerAnswer)],
    wanted: BundleId,
) {
    for (name, answer) in peers {
        let holds = matches!(
            answer,
            RolloutPeerAnswer::Holds { bundle, verified: true } if *bundle == wanted
        );
        if holds && fetch_bundle_from(node, name).await {
            return;
        }
    }
}

/// Reads the head from the store when a read is due.
///
/// A confirmation of the installed version by a watcher postpones the read.
pub async fn run_head_reads(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let due = node.rollout.lock().next_head_read_at(node.is_watcher());
        if clock::now() >= due {
            update_from_store(&node).await;
        }
    }
}

/// Watches the head while this instance is one of the watchers of its region.
pub async fn run_head_watch(node: Arc<Node>) {
    let mut after = StoreRevision::ABSENT;
    loop {
        if !node.is_watcher() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        match node.platform.watch(HEAD_KEY, after, WATCH_TIMEOUT).await {
            Ok(changes) => {
                after = changes.revision;
                if !changes.changes.is_empty() {
                    update_from_store(&node).await;
                }
            }
            Err(PlatformError::HistoryDiscarded) => after = StoreRevision::ABSENT,
            Err(_) => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}
