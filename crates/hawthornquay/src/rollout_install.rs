//! Verification and installation of bundles.

use std::{sync::Arc, time::SystemTime};

use hawthornquay_decisions::{BundleId, RolloutOffer, RolloutStep};
use hawthornquay_operators::{
    BundleDocument, BundleHead, StoredDifference, StoredHead, Trust, load_content,
    load_differences, load_head, restore_bundle,
};
use slog::{info, warn};

use crate::{ActiveBundle, Node, PlatformStore, clock, rollout_peers::push_difference};

/// Returns the version and the digest that a head states.
pub fn bundle_id(head: &BundleHead) -> BundleId {
    BundleId {
        version: head.version,
        digest: head.digest.0,
    }
}

/// Puts a verified bundle in force, unless the same or a higher version is installed.
///
/// Returns whether it was put in force.
pub fn install(node: &Node, head: BundleHead, document: BundleDocument) -> bool {
    // The lock serializes installations, because the limits must adopt versions in ascending order.
    let mut rollout = node.rollout.lock();
    if !rollout.install(bundle_id(&head)) {
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

/// Verifies a difference, applies it to the bundle in force and installs the result.
///
/// Returns whether the result was put in force. If so, the difference is sent on to the gossip
/// partners.
pub async fn offer_difference(node: &Arc<Node>, difference: &StoredDifference) -> bool {
    let Some(held) = node.bundle.active() else {
        return false;
    };
    let to = bundle_id(&difference.head);
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
            warn!(node.log.rollout, "bundle difference failed verification"; "version" => to.version, "error" => %error);
            false
        }
        _ => false,
    }
}

/// Verifies the whole content of a bundle and installs it; returns the step taken.
///
/// The signers that the bundle in force trusts must have signed it. The signers in the settings are
/// used only if there is no bundle, because the settings may still name a signer that the bundle in
/// force has removed.
pub fn offer_content(node: &Node, head: BundleHead, document: BundleDocument) -> RolloutStep {
    let trusted = node.bundle.active().map_or_else(
        || node.settings.trust.verify_head(&head),
        |held| Trust::of_predecessor(held.bundle()).verify_head(&head),
    );
    let matches = document.digest() == head.digest && document.version() == head.version;
    let offer = RolloutOffer::Content {
        to: bundle_id(&head),
        verified: matches && trusted.is_ok(),
    };
    let step = node.rollout.lock().decide(&offer);
    let version = head.version;
    match step {
        RolloutStep::Install if !install(node, head, document) => RolloutStep::IgnoreNotNewer,
        RolloutStep::IgnoreUnverified => {
            warn!(node.log.rollout, "bundle failed verification"; "version" => version);
            step
        }
        _ => step,
    }
}

/// Reads the head from the store and installs its bundle if it is newer.
///
/// Returns whether the head could be read.
pub async fn update_from_store(node: &Arc<Node>) -> bool {
    node.rollout
        .lock()
        .record_head_read(clock::now(), rand::random());
    let store = PlatformStore(&node.platform);
    let requested_at = clock::now();
    let head = match load_head(&store).await {
        Ok(stored) => {
            write_back_if_lost(node, &store, stored.as_ref()).await;
            match stored {
                Some(stored) => stored.head,
                None => return true,
            }
        }
        Err(error) => {
            warn!(node.log.rollout, "bundle head not read"; "error" => %error);
            return false;
        }
    };
    node.last_head_read
        .store(Some(Arc::new((head.version, requested_at))));
    let step = node.rollout.lock().decide(&RolloutOffer::Head {
        to: bundle_id(&head),
    });
    match step {
        RolloutStep::FetchDifferences { first, .. } => {
            if !install_differences(node, &store, &head, first).await {
                install_content(node, &store, head).await;
            }
        }
        RolloutStep::FetchContent { .. } => install_content(node, &store, head).await,
        RolloutStep::IgnoreNotNewer | RolloutStep::IgnoreUnverified | RolloutStep::Install => {}
    }
    true
}

/// Writes the bundle in force back to a store that came back from an older copy without it.
///
/// Several instances may try; the write of the head is conditional on the head that was read. In
/// era 0 the store has lost nothing, and an older head is that of a late response.
async fn write_back_if_lost(
    node: &Arc<Node>,
    store: &PlatformStore<'_>,
    stored: Option<&StoredHead>,
) {
    let Some(held) = node.bundle.active() else {
        return;
    };
    let version = stored.map_or(0, |stored| stored.head.version);
    if node.platform.era() == 0 || version >= held.version() {
        return;
    }
    let who = node.id.to_string();
    let when = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let when_ms = u64::try_from(when.as_millis()).unwrap_or(u64::MAX);
    match restore_bundle(store, &held.head, &held.document, stored, &who, when_ms).await {
        Ok(()) => {
            warn!(node.log.rollout, "bundle written back, the store had lost it"; "version" => held.version());
        }
        Err(error) => {
            info!(node.log.rollout, "bundle not written back"; "version" => held.version(), "error" => %error);
        }
    }
}

/// Installs the differences from version `first` up to `head`; returns whether `head` is installed.
async fn install_differences(
    node: &Arc<Node>,
    store: &PlatformStore<'_>,
    head: &BundleHead,
    first: u64,
) -> bool {
    let differences = match load_differences(store, head, first.saturating_sub(1)).await {
        Ok(differences) => differences,
        Err(error) => {
            info!(node.log.rollout, "bundle differences not read"; "error" => %error);
            return false;
        }
    };
    for difference in &differences {
        offer_difference(node, difference).await;
    }
    node.bundle.version() >= head.version
}

/// Installs the bundle of `head` from its whole content, or from the differences that it requires.
async fn install_content(node: &Arc<Node>, store: &PlatformStore<'_>, head: BundleHead) {
    match load_content(store, &head).await {
        Ok(document) => {
            let step = offer_content(node, head.clone(), document);
            if let RolloutStep::FetchDifferences { first, .. } = step {
                install_differences(node, store, &head, first).await;
            }
        }
        Err(error) => warn!(node.log.rollout, "bundle not read"; "error" => %error),
    }
}
