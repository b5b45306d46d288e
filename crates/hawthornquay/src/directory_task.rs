//! Entry of the own region in the platform's client directory.

use std::{sync::Arc, time::Duration};

use hawthornquay_callers::InstanceListResponse;
use slog::debug;
use tokio::time::Instant;

use crate::{Node, caller_gateway::list_answer};

const INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unchanged list is written again, in case that a write was lost.
const REWRITE_INTERVAL: Duration = Duration::from_secs(60);

/// Writes the list of instances for any caller, for as long as the process runs.
///
/// The first watcher of a region writes the region's entry. The list names no organisation.
pub async fn run_directory(node: Arc<Node>) {
    let mut written: Option<(Vec<String>, Instant)> = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        if node.watcher_rank() != Some(0) {
            written = None;
            continue;
        }
        let list = list_answer(&node, None);
        let names = sorted_names(&list);
        let fresh = written
            .as_ref()
            .is_some_and(|(known, at)| *known == names && at.elapsed() < REWRITE_INTERVAL);
        if !fresh && write(&node, &list).await {
            written = Some((names, Instant::now()));
        }
    }
}

/// Returns what counts as a change; the order varies from call to call.
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
    let name = format!("hawthornquay-{}", node.place.region);
    match node.platform.write_directory(&name, entry.into()).await {
        Ok(()) => true,
        Err(error) => {
            debug!(node.log.platform, "directory not written"; "error" => %error);
            false
        }
    }
}
