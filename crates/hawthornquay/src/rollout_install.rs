//! Putting bundles in force.

use std::sync::Arc;

use hawthornquay_decisions::{RolloutOffer, RolloutStep, RolloutVersion};
use hawthornquay_operators::{
    BundleDocument, BundleHead, StoredDifference, Trust, load_content, load_differences, load_head,
};
use slog::{info, warn};

use crate::{ActiveBundle, Node, PlatformStore, clock, rollout_peers::push_difference};

/// Returns version and digest of a head.
pub fn version_of(head: &BundleHead) -> RolloutVersion {
    RolloutVersion {
        version: head.version,
        digest: head.digest.0,
    }
}

/// Puts a verified bundle in force, unless the instance holds the same or a higher version.
///
/// Returns whether it was put in force.
pub fn install(node: &Node, head: BundleHead, document: BundleDocument) -> bool {
    // Serializes installs, because the limits need every version in order.
    let mut rollout = node.rollout.lock();
    if !rollout.install(version_of(&head)) {
        return false;
    }
    let active = Arc::new(ActiveBundle { head, document });
    node.bundle.install(&active);
    let now = clock::now();
    node.members.lock().own_mut().bundle_version = active.version();
    node.limits.lock().adopt_bundle(active.bundle(), now);
    node.routing.lock().view.retain(active.bundle());
    node.metrics.set_bundle_version(active.version());
    info!(node.log.rollout, "bundle in force"; "version" => active.version());
    true
}

/// Applies a difference to the bundle in force; returns whether it was put in force.
pub async fn offer_difference(node: &Arc<Node>, difference: &StoredDifference) -> bool {
    let Some(held) = node.bundle.active() else {
        return false;
    };
    let to = version_of(&difference.head);
    let Some(previous) = difference.head.previous else {
        return false;
    };
    let from = RolloutVersion {
        version: to.version.saturating_sub(1),
        digest: previous.0,
    };
    let applied = difference.verify_and_apply(&held.document);
    let offer = RolloutOffer::Difference {
        from,
        to,
        verified: applied.is_ok(),
    };
    let step = node.rollout.lock().decide(&offer);
    match (step, applied) {
        (RolloutStep::Install, Ok(document)) => {
            let installed = install(node, difference.head.clone(), document);
            if installed {
                push_difference(node, difference).await;
            }
            installed
        }
        (RolloutStep::IgnoreUnverified, Err(error)) => {
            warn!(node.log.rollout, "difference refused"; "version" => to.version, "error" => %error);
            false
        }
        _ => false,
    }
}

/// Checks whole content against the settings' trust or the bundle in force, and installs it.
pub fn offer_content(node: &Node, head: BundleHead, document: BundleDocument) -> bool {
    let by_settings = node.settings.trust.verify_head(&head);
    let by_held = node.bundle.active().is_some_and(|held| {
        Trust::of_predecessor(held.bundle())
            .verify_head(&head)
            .is_ok()
    });
    let matches = document.digest() == head.digest && document.version() == head.version;
    let verified = matches && (by_settings.is_ok() || by_held);
    let offer = RolloutOffer::Content {
        to: version_of(&head),
        verified,
    };
    match node.rollout.lock().decide(&offer) {
        RolloutStep::Install => {}
        RolloutStep::IgnoreUnverified => {
            warn!(node.log.rollout, "bundle refused"; "version" => head.version);
            return false;
        }
        _ => return false,
    }
    install(node, head, document)
}

/// Reads the head in the store and follows it; returns whether the store answered.
pub async fn follow_store(node: &Arc<Node>) -> bool {
    node.rollout
        .lock()
        .head_read_sent(clock::now(), rand::random());
    let store = PlatformStore(&node.platform);
    let asked = clock::now();
    let head = match load_head(&store).await {
        Ok(Some(stored)) => stored.head,
        Ok(None) => return true,
        Err(error) => {
            warn!(node.log.rollout, "head cannot be read"; "error" => %error);
            return false;
        }
    };
    node.head_seen.store(Some(Arc::new((head.version, asked))));
    let step = node.rollout.lock().decide(&RolloutOffer::Head {
        to: version_of(&head),
    });
    match step {
        RolloutStep::FetchDifferences { first, .. } => {
            if !follow_differences(node, &store, &head, first).await {
                follow_content(node, &store, head).await;
            }
        }
        RolloutStep::FetchContent { .. } => follow_content(node, &store, head).await,
        RolloutStep::IgnoreNotNewer | RolloutStep::IgnoreUnverified | RolloutStep::Install => {}
    }
    true
}

async fn follow_differences(
    node: &Arc<Node>,
    store: &PlatformStore<'_>,
    head: &BundleHead,
    first: u64,
) -> bool {
    let differences = match load_differences(store, head, first.saturating_sub(1)).await {
        Ok(differences) => differences,
        Err(error) => {
            info!(node.log.rollout, "differences cannot be read"; "error" => %error);
            return false;
        }
    };
    for difference in &differences {
        offer_difference(node, difference).await;
    }
    node.bundle.version() >= head.version
}

async fn follow_content(node: &Arc<Node>, store: &PlatformStore<'_>, head: BundleHead) {
    match load_content(store, &head).await {
        Ok(document) => {
            offer_content(node, head, document);
        }
        Err(error) => warn!(node.log.rollout, "bundle cannot be read"; "error" => %error),
    }
}
