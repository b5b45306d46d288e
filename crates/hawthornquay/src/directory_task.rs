//! Publication of this region's instances in the platform's client directory.

use std::{sync::Arc, time::Duration};

use hawthornquay_callers::InstanceListResponse;
use slog::debug;
use tokio::time::Instant;

use crate::{Node, caller_gateway::caller_list_answer};

/// Interval at which the list is compared with the one written last.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unchanged list is written again, in case a write was lost.
const REWRITE_INTERVAL: Duration = Duration::from_secs(60);

/// Keeps the region's directory entry current, for as long as the process runs.
///
/// Only the first watcher of the region writes the entry. The entry lists the instances without
/// regard to residency and names no organisation.
pub async fn run_directory_updates(node: Arc<Node>) {
    let mut written: Option<(Vec<String>, Instant)> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if node.watcher_rank() != Some(0) {
            written = None;
            continue;
        }
        let list = caller_list_answer(&node, None);
        let names = sorted_names(&list);
        let fresh = written
            .as_ref()
            .is_some_and(|(known, at)| *known == names && at.elapsed() < REWRITE_INTERVAL);
        if !fresh && write(&node, &list).await {
            written = Some((names, Instant::now()));
        }
    }
}

/// Returns the names on the list in ascending order, for comparison.
///
/// Only the names count as a change, because the order of the list is random.
fn sorted_names(list: &InstanceListResponse) -> Vec<String> {
    let mut names: Vec<String> = list
        .instances
        .iter()
        .map(|entry| entry.name.to_string())
        .collect();
    names.sort();
    names
}

async fn write(node: &Node, list: &InstanceListResponse) -> bool {
    let Ok(entry) = serde_json::to_vec(list) else {
        return false;
    };
    let name = format!("hawthornquay-{}", node.location.region);
    match node.platform.write_directory(&name, entry.into()).await {
        Ok(()) => true,
        Err(error) => {
            debug!(node.log.platform, "directory entry not written"; "error" => %error);
            false
        }
    }
}
