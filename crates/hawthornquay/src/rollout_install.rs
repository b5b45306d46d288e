//! Putting bundles in force.

use std::sync::Arc;

use hawthornquay_decisions::{BundleId, RolloutOffer, RolloutStep};
use hawthornquay_operators::{
    BundleDocument, BundleHead, StoredDifference, Trust, load_content, load_differences, load_head,
};
use slog::{info, warn};

use crate::{ActiveBundle, Node, PlatformStore, clock, rollout_peers::push_difference};

/// Returns version and digest of a head.
pub fn version_of(head: &BundleHead) -> BundleId {
    BundleId {
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
    node.members.lock().own_entry_mut().bundle_version = active.version();
    node.limits.lock().adopt_bundle(active.bundle(), now);
    node.routing.lock().view.retain_configured(active.bundle());
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
    let from = BundleId {
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

/// Checks whole content against the trust of the bundle in force, or without one of the settings,
/// and installs it; returns the step taken.
///
/// The settings may still name a signer that the bundle in force has dropped.
pub fn offer_content(node: &Node, head: BundleHead, document: BundleDocument) -> RolloutStep {
    let trusted = node.bundle.active().map_or_else(
        || node.settings.trust.verify_head(&head),
        |held| Trust::of_predecessor(held.bundle()).verify_head(&head),
    );
    let matches = document.digest() == head.digest && document.version() == head.version;
    let offer = RolloutOffer::Content {
        to: version_of(&head),
        verified: matches && trusted.is_ok(),
    };
    let step = node.rollout.lock().decide(&offer);
    let version = head.version;
    match step {
        RolloutStep::Install if !install(node, head, document) => RolloutStep::IgnoreNotNewer,
        RolloutStep::IgnoreUnverified => {
            warn!(node.log.rollout, "bundle refused"; "version" => version);
            step
        }
        _ => step,
    }
}

/// Reads the head in the store and follows it; returns whether the store answered.
pub async fn follow_store(node: &Arc<Node>) -> bool {
    node.rollout
        .lock()
        .record_head_read(clock::now(), rand::random());
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
            let step = offer_content(node, head.clone(), document);
            if let RolloutStep::FetchDifferences { first, .. } = step {
                follow_differences(node, store, &head, first).await;
            }
        }
        Err(error) => warn!(node.log.rollout, "bundle cannot be read"; "error" => %error),
    }
}
