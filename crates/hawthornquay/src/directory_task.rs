//! Publication of this region's instances in the platform's client directory.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornquay_callers::InstanceListResponse;
use hawthornquay_decisions::InstanceName;
use slog::debug;

use crate::{Node, caller_gateway::caller_list_answer};

/// Interval at which the published list is compared with the current one.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps the region's directory entry current, for as long as the process runs.
///
/// Only the first watcher of the region writes the entry. An instance that has not seen the others
/// yet also takes itself for the first watcher and may overwrite the entry, so the published entry
/// is compared, not the one that this instance wrote last. The entry lists the instances without
/// regard to residency and names no organisation.
pub async fn run_directory_updates(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if node.watcher_rank() != Some(0) {
            continue;
        }
        let list = caller_list_answer(&node, None);
        if published_entries(&node).await != Some(sorted_entries(&list)) {
            write(&node, &list).await;
        }
    }
}

/// Returns the names and addresses in the region's published entry, or `None` if there is no
/// readable one.
async fn published_entries(node: &Node) -> Option<Vec<(InstanceName, SocketAddr)>> {
    let name = entry_name(node);
    let entry = match node.platform.read_directory(&name).await {
        Ok(entry) => entry,
        Err(error) => {
            debug!(node.log.platform, "directory entry not read"; "error" => %error);
            return None;
        }
    };
    serde_json::from_slice(&entry)
        .ok()
        .map(|list| sorted_entries(&list))
}

/// Returns the names and addresses on a list in ascending order; the order of a list is random.
fn sorted_entries(list: &InstanceListResponse) -> Vec<(InstanceName, SocketAddr)> {
    let mut entries: Vec<_> = list
        .instances
        .iter()
        .map(|entry| (entry.name.clone(), entry.address))
        .collect();
    entries.sort();
    entries
}

async fn write(node: &Node, list: &InstanceListResponse) {
    let Ok(entry) = serde_json::to_vec(list) else {
        return;
    };
    let written = node
        .platform
        .write_directory(&entry_name(node), entry.into())
        .await;
    if let Err(error) = written {
        debug!(node.log.platform, "directory entry not written"; "error" => %error);
    }
}

fn entry_name(node: &Node) -> String {
    format!("hawthornquay-{}", node.location.region)
}
