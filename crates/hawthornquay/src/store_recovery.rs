//! Recovery after the store came back from an older copy.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{ERA_CHECK_INTERVAL_MS, EraCheckStep};
use hawthornquay_operators::era_marker_key;
use hawthornquay_store::PlatformError;
use slog::{info, warn};

use crate::{Node, claim::write_back_claims};

/// Interval at which the task looks for a new era.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of polls between two checks of the marker of an era.
const POLLS_PER_CHECK: u64 = ERA_CHECK_INTERVAL_MS / POLL_INTERVAL.as_millis() as u64;

/// Returns the era of the store if nothing is missing in it that the store confirmed earlier.
pub fn settled_era(node: &Node) -> Option<u64> {
    let mut recovery = node.era_recovery.lock();
    recovery.observe(node.platform.era());
    recovery.is_settled().then_some(recovery.era())
}

/// Writes back what the store has lost, whenever it comes back from an older copy, for as long as
/// the process runs.
pub async fn run_store_recovery(node: Arc<Node>) {
    let mut polls = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let (began, era, settled) = {
            let mut recovery = node.era_recovery.lock();
            let began = recovery.observe(node.platform.era());
            (began, recovery.era(), recovery.is_settled())
        };
        if began {
            warn!(node.log.platform, "store came back from an older copy, writing back what it lost"; "era" => era);
            polls = 0;
        }
        if era == 0 {
            continue;
        }
        write_back_claims(&node, era).await;
        if !settled && polls % POLLS_PER_CHECK == 0 {
            check_marker(&node, era).await;
        }
        polls += 1;
    }
}

/// Reads whether the latest era is marked as settled; returns whether the store answered.
pub async fn refresh_marker(node: &Node) -> bool {
    let era = {
        let mut recovery = node.era_recovery.lock();
        recovery.observe(node.platform.era());
        recovery.era()
    };
    let Some(marker_exists) = read_marker(node, era).await else {
        return false;
    };
    let mut recovery = node.era_recovery.lock();
    if marker_exists || !recovery.is_checked() {
        recovery.record_check(era, marker_exists);
    }
    true
}

/// Reads whether an era is marked as settled; `None` if the store does not answer in this era.
async fn read_marker(node: &Node, era: u64) -> Option<bool> {
    let key = era_marker_key(era);
    let marker_exists = match node.platform.get(&key).await {
        Ok(_) => true,
        Err(PlatformError::NotFound) => false,
        Err(_) => return None,
    };
    (node.platform.era() == era).then_some(marker_exists)
}

/// Reads the marker of the era, and writes it when all instances had time to write back.
async fn check_marker(node: &Node, era: u64) {
    let Some(marker_exists) = read_marker(node, era).await else {
        return;
    };
    let step = node.era_recovery.lock().record_check(era, marker_exists);
    if marker_exists {
        info!(node.log.platform, "store is settled"; "era" => era);
    }
    if step == EraCheckStep::WriteMarker
        && let Err(error) = node
            .platform
            .create(&era_marker_key(era), b"settled", None)
            .await
    {
        info!(node.log.platform, "era not marked as settled"; "error" => %error);
    }
}
