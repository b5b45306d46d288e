//! Membership and gossip.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    GossipEntry, GossipLoad, GossipPartners, GossipSettings, InstanceId, InstanceName,
};
use hawthornquay_instances::{BackendLoad, Digest, DigestEntry, Notice};
use prost::Message;
use slog::{debug, info};

use crate::{Node, clock, rollout_peers::fetch_from, start_hint::greet};

const INTERVAL: Duration = Duration::from_secs(1);

/// Rounds between two reads of the platform's list by an instance that is not a watcher.
///
/// All instances reading each second would make the platform's load grow with the fleet.
const LIST_ROUNDS: u64 = 5;

/// Bytes that an entry adds to an encoded digest beside its own length.
const ENTRY_OVERHEAD: usize = 2;

/// Reads the platform's list and exchanges digests for as long as the process runs.
pub async fn run_membership(node: Arc<Node>) {
    let settings = GossipSettings::default();
    let mut partners = GossipPartners::new(settings, clock::now());
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let offset: u64 = rand::random_range(0..LIST_ROUNDS);
    for round in offset.. {
        interval.tick().await;
        if round % LIST_ROUNDS == 0
            || node.is_watcher()
            || node.members.lock().others().next().is_none()
        {
            read_list(&node).await;
        }
        send_digests(&node, &mut partners).await;
        if let Some(peer) = node.suspect_domain_peer() {
            tokio::spawn(greet(Arc::clone(&node), peer));
        }
    }
}

/// Reads the platform's list into the member table; returns whether the platform answered.
pub async fn read_list(node: &Node) -> bool {
    match node.platform.instances().await {
        Ok(listed) => {
            node.members
                .lock()
                .apply_list(clock::now(), &listed.instances);
            let lag = Duration::from_millis(listed.lag_ms);
            *node.listed.lock() = (listed.instances, lag);
            true
        }
        Err(error) => {
            debug!(node.log.membership, "list cannot be read"; "error" => %error);
            false
        }
    }
}

/// Takes a digest, and fetches the bundle of a sender that is ahead.
pub async fn take_digest(node: &Arc<Node>, from: &InstanceId, digest: &Digest) {
    let entries: Vec<GossipEntry> = digest.entries.iter().map(read_entry).collect();
    let sender_version = entries.first().map_or(0, |entry| entry.bundle_version);
    let known = {
        let mut members = node.members.lock();
        members.apply_digest(clock::now(), from, &entries);
        members.get(&from.name).is_some()
    };
    if !known {
        // A newcomer is unknown until the list is read; asking at once lets both sides gossip.
        read_list(node).await;
    }
    let own = node.bundle.version();
    if digest.head_version == own {
        confirm(node, Duration::from_millis(digest.head_age_ms));
    }
    // A fresh instance first asks the store and its peers which bundle is the highest.
    if sender_version > own && node.bundle.active().is_some() {
        fetch_from(node, &from.name).await;
    }
}

fn confirm(node: &Node, age: Duration) {
    let mut rollout = node.rollout.lock();
    if let Some(held) = rollout.held() {
        rollout.confirm(held, age, clock::now(), rand::random());
    }
}

async fn send_digests(node: &Arc<Node>, partners: &mut GossipPartners) {
    let now = clock::now();
    let (head_version, head_age_ms) = head_seen(node);
    let digests: Vec<(InstanceName, Digest)> = {
        let mut members = node.members.lock();
        members.beat();
        let chosen = partners.choose(now, &members, rand::random);
        chosen
            .into_iter()
            .map(|name| {
                let entries = members
                    .digest(now, &name, entry_len)
                    .iter()
                    .map(write_entry)
                    .collect();
                (
                    name,
                    Digest {
                        entries,
                        head_version,
                        head_age_ms,
                    },
                )
            })
            .collect()
    };
    *node.partners.lock() = digests.iter().map(|(name, _)| name.clone()).collect();
    let sends = digests
        .into_iter()
        .map(|(name, digest)| send_digest(node, name, digest));
    for failed in join_all(sends).await.into_iter().flatten() {
        partners.drop_partner(&failed);
        node.members.lock().mark_unreachable(&failed);
    }
}

fn entry_len(entry: &GossipEntry) -> usize {
    write_entry(entry).encoded_len() + ENTRY_OVERHEAD
}

async fn send_digest(node: &Node, name: InstanceName, digest: Digest) -> Option<InstanceName> {
    let peer = node.peer_named(&name)?;
    match node.links.send(&peer, Notice::Digest(digest)).await {
        Ok(()) => None,
        Err(error) => {
            info!(node.log.membership, "digest not sent"; "instance" => %name, "error" => %error);
            Some(name)
        }
    }
}

fn head_seen(node: &Node) -> (u64, u64) {
    node.head_seen
        .load()
        .as_ref()
        .map_or((0, u64::MAX), |seen| {
            let age = clock::now().since(seen.1).as_millis();
            (seen.0, u64::try_from(age).unwrap_or(u64::MAX))
        })
}

fn read_entry(entry: &DigestEntry) -> GossipEntry {
    GossipEntry {
        id: InstanceId::new(&entry.name, entry.incarnation),
        heartbeat: entry.heartbeat,
        bundle_version: entry.bundle_version,
        leaving: entry.leaving,
        loads: entry.loads.iter().map(read_load).collect(),
    }
}

fn read_load(load: &BackendLoad) -> GossipLoad {
    GossipLoad {
        backend: load.name.as_str().into(),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        sequence: load.sequence,
        leaving: load.leaving,
    }
}

fn write_entry(entry: &GossipEntry) -> DigestEntry {
    DigestEntry {
        name: entry.id.name.to_string(),
        incarnation: entry.id.incarnation.0,
        heartbeat: entry.heartbeat,
        bundle_version: entry.bundle_version,
        leaving: entry.leaving,
        loads: entry.loads.iter().map(write_load).collect(),
    }
}

fn write_load(load: &GossipLoad) -> BackendLoad {
    BackendLoad {
        name: load.backend.to_string(),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        sequence: load.sequence,
        leaving: load.leaving,
    }
}
