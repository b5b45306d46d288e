//! Start hints: platform data that peers send to a starting instance without the platform.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{
    DomainName, DomainSlots, InstanceRecord, SlotSnapshot, StoreRevision,
};
use hawthornquay_instances::{BundleDelta, Notice, PeerAddress};
use serde::{Deserialize, Serialize};
use slog::{debug, info};

use crate::{Node, clock, rollout_peers::fetch_head};

/// Version that marks a [`BundleDelta`] as a start hint; no bundle has this version.
pub const START_HINT_VERSION: u64 = 0;

/// Instance list and slots that a peer last read from the platform.
///
/// An instance that starts while its failure domain cannot reach the platform knows only its own
/// address. Its peers know that address if the platform's list contained it before the connection
/// was lost, and send the hint.
#[derive(Serialize, Deserialize)]
struct StartHint {
    instances: Vec<InstanceRecord>,
    lag_ms: u64,
    #[serde(default)]
    slots_era: u64,
    slots_revision: u64,
    slots: Vec<(DomainName, DomainSlots)>,
}

/// Sends a start hint to a suspect instance of this failure domain, if it runs without a bundle.
pub async fn send_start_hint(node: Arc<Node>, peer: PeerAddress) {
    if !matches!(fetch_head(&node, &peer).await, Some(None)) {
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
        debug!(node.log.membership, "start hint not sent"; "instance" => %peer.name, "error" => %error);
    }
}

/// Applies the list and the slots of a start hint, unless this instance already knows other
/// members.
pub fn apply_start_hint(node: &Node, hint: &[u8]) {
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
    info!(node.log.membership, "instance list received from a peer"; "instances" => hint.instances.len());
    let slots = SlotSnapshot {
        revision: StoreRevision {
            era: hint.slots_era,
            revision: hint.slots_revision,
        },
        domains: hint.slots.into_iter().collect(),
    };
    node.limits.lock().adopt_slots(slots.clone(), now);
    *node.slots.lock() = slots;
    *node.instance_list.lock() = (hint.instances, Duration::from_millis(hint.lag_ms));
}

impl StartHint {
    fn of(node: &Node) -> Self {
        let (instances, lag) = node.instance_list.lock().clone();
        let slots = node.slots.lock().clone();
        Self {
            instances,
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
            slots_era: slots.revision.era,
            slots_revision: slots.revision.revision,
            slots: slots.domains.into_iter().collect(),
        }
    }
}
