//! Following of the operators' bundles.

use std::{sync::Arc, time::Duration};

use hawthornquay_platform::Revision;
use slog::info;

use crate::{Node, clock, rollout_install::follow_store, rollout_peers::fetch_from};

const HEAD_KEY: &str = "bundle/head";

/// Longest wait of one watch; a silent watch costs nothing, because the head is also read.
const WATCH_WAIT: Duration = Duration::from_secs(20);

const TICK: Duration = Duration::from_millis(100);

/// Time between two tries to get a first bundle.
const START_RETRY: Duration = Duration::from_millis(300);

/// Gets the first bundle, from the store or else from a peer.
pub async fn start_rollout(node: &Arc<Node>) {
    loop {
        let answered = follow_store(node).await;
        let from_peers = if answered {
            node.bundle.active().is_none()
        } else {
            true
        };
        if from_peers {
            fetch_highest(node).await;
        }
        if node.bundle.active().is_some() {
            return;
        }
        info!(node.log.rollout, "no bundle yet"; "store" => answered);
        tokio::time::sleep(START_RETRY).await;
    }
}

/// Reads the head whenever no watcher has confirmed it lately.
pub async fn run_rollout(node: Arc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        let due = node.rollout.lock().head_read_at(node.is_watcher());
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

async fn fetch_highest(node: &Arc<Node>) {
    let names = node.members_by_bundle();
    for name in names {
        if fetch_from(node, &name).await {
            return;
        }
    }
}
