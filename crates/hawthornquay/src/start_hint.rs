//! Help for fresh instances that cannot reach the platform.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{DomainName, DomainSlots, InstanceRecord, SlotSnapshot};
use hawthornquay_instances::{BundleDelta, Notice, PeerAddress};
use serde::{Deserialize, Serialize};
use slog::{debug, info};

use crate::{Node, clock, rollout_peers::head_of};

/// Version that marks a [`BundleDelta`] as a hint; no bundle has it.
pub const START_HINT_VERSION: u64 = 0;

/// What a peer knows from the platform, for an instance that was started in a cut-off domain.
///
/// Such an instance knows no address but its own. Its peers know its address if the list named it
/// before the cut.
#[derive(Serialize, Deserialize)]
struct StartHint {
    instances: Vec<InstanceRecord>,
    lag_ms: u64,
    slots_revision: u64,
    slots: Vec<(DomainName, DomainSlots)>,
}

/// Sends a hint to a suspect instance of the own domain, if it runs without a bundle.
pub async fn greet(node: Arc<Node>, peer: PeerAddress) {
    if !matches!(head_of(&node, &peer).await, Some(None)) {
        return;
    }
    let Ok(hint) = serde_json::to_vec(&StartHint::of(&node)) else {
        return;
    };
    let notice = Notice::BundleDelta(BundleDelta {
        version: START_HINT_VERSION,
        base_version: 0,
        head: Bytes::new(),
        delta: hint.into(),
    });
    if let Err(error) = node.links.send(&peer, notice).await {
        debug!(node.log.membership, "hint not sent"; "instance" => %peer.name, "error" => %error);
    }
}

/// Takes the list and the slots of a peer, unless this instance has read the list itself.
pub fn take_hint(node: &Node, hint: &[u8]) {
    let Ok(hint) = serde_json::from_slice::<StartHint>(hint) else {
        return;
    };
    let now = clock::now();
    {
        let mut members = node.members.lock();
        if members.others().next().is_some() {
            return;
        }
        members.apply_instance_list(now, &hint.instances);
    }
    info!(node.log.membership, "list taken from a peer"; "instances" => hint.instances.len());
    let slots = SlotSnapshot {
        revision: hint.slots_revision,
        domains: hint.slots.into_iter().collect(),
    };
    node.limits.lock().adopt_slots(slots.clone(), now);
    *node.slots.lock() = slots;
    *node.listed.lock() = (hint.instances, Duration::from_millis(hint.lag_ms));
}

impl StartHint {
    fn of(node: &Node) -> Self {
        let (instances, lag) = node.listed.lock().clone();
        let slots = node.slots.lock().clone();
        Self {
            instances,
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
            slots_revision: slots.revision,
            slots: slots.domains.into_iter().collect(),
        }
    }
}
