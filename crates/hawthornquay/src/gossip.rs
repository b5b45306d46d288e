//! Membership and gossip.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    GossipEntry, GossipPartners, GossipSettings, InstanceId, InstanceName, MemberState,
};
use hawthornquay_instances::{Digest, DigestEntry, Notice};
use slog::{debug, info};
use tokio::time::Instant;

use crate::{Node, clock, rollout_peers::fetch_from, start_hint::greet};

const INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two reads of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Addition to the time between two reads for each member.
///
/// The list's size and the number of its readers both grow with the fleet.
const LIST_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(200);

/// Part of the time between two reads after which a watcher reads again.
const WATCHER_SHARE: u32 = 5;

/// Reads the platform's list and exchanges digests for as long as the process runs.
pub async fn run_membership(node: Arc<Node>) {
    let settings = GossipSettings::default();
    let mut partners = GossipPartners::new(settings, clock::now());
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut read_at = None;
    loop {
        interval.tick().await;
        let wait = list_interval(&node).mul_f64(rand::random_range(0.8..1.2));
        if read_at.is_none_or(|at: Instant| at.elapsed() >= wait) && read_list(&node).await {
            read_at = Some(Instant::now());
        }
        send_digests(&node, &mut partners).await;
        if let Some(peer) = node.suspect_domain_peer() {
            tokio::spawn(greet(Arc::clone(&node), peer));
        }
    }
}

fn list_interval(node: &Node) -> Duration {
    let members = node.members.lock().others().count();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval = LIST_INTERVAL.max(LIST_INTERVAL_PER_MEMBER.saturating_mul(members));
    if node.is_watcher() || members == 0 {
        interval / WATCHER_SHARE
    } else {
        interval
    }
}

/// Reads the platform's list into the member table; returns whether the platform answered.
pub async fn read_list(node: &Node) -> bool {
    match node.platform.instances().await {
        Ok(listed) => {
            node.members
                .lock()
                .apply_instance_list(clock::now(), &listed.instances);
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
    let entries = Vec::<GossipEntry>::from(digest.clone());
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
    if let Some(held) = rollout.installed() {
        rollout.confirm(held, age, clock::now(), rand::random());
    }
}

async fn send_digests(node: &Arc<Node>, partners: &mut GossipPartners) {
    let chosen = {
        let mut members = node.members.lock();
        members.increment_heartbeat();
        partners.choose(clock::now(), &members, rand::random)
    };
    *node.partners.lock() = chosen.clone();
    for failed in send_to(node, chosen).await {
        partners.remove_partner(&failed);
    }
}

/// Sends a digest to every live member of the own domain at once.
///
/// Work must stop going to a leaving backend server within seconds, in which the digests of each
/// second do not reach all members of a large domain.
pub async fn announce_to_domain(node: &Node) {
    let names = {
        let members = node.members.lock();
        let now = clock::now();
        members
            .others()
            .filter(|member| member.record.domain == node.location.domain)
            .filter(|member| members.state_of(member, now) == MemberState::Live)
            .map(|member| member.record.name.clone())
            .collect()
    };
    send_to(node, names).await;
}

/// Sends a digest to each of the members; returns those that cannot be reached.
async fn send_to(node: &Node, names: Vec<InstanceName>) -> Vec<InstanceName> {
    let (head_version, head_age_ms) = head_seen(node);
    let digests: Vec<(InstanceName, Digest)> = {
        let mut members = node.members.lock();
        let now = clock::now();
        names
            .into_iter()
            .map(|name| {
                let entries = members.digest(now, &name, DigestEntry::len_in_digest);
                let digest = Digest {
                    head_version,
                    head_age_ms,
                    ..Digest::from(entries.as_slice())
                };
                (name, digest)
            })
            .collect()
    };
    let sends = digests
        .into_iter()
        .map(|(name, digest)| send_digest(node, name, digest));
    let failed: Vec<InstanceName> = join_all(sends).await.into_iter().flatten().collect();
    for name in &failed {
        node.members.lock().mark_unreachable(name);
    }
    failed
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
