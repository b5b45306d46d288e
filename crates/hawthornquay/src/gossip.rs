//! Membership: reads of the platform's instance list and gossip of digests.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    GossipEntry, GossipPartners, GossipSettings, InstanceId, InstanceName, MemberState,
};
use hawthornquay_instances::{Digest, DigestEntry, Notice};
use slog::{debug, info};
use tokio::time::Instant;

use crate::{Node, clock, rollout_peers::fetch_bundle_from, start_hint::send_start_hint};

/// Interval between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two reads of the platform's list.
///
/// Watchers, and instances that know no other member, read more often.
const MIN_LIST_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two reads per member of the fleet.
///
/// The size of the list and the number of its readers both grow with the fleet.
const LIST_READ_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(200);

/// Multiple of the usual read rate at which watchers and instances without other members read.
const WATCHER_LIST_READ_MULTIPLE: u32 = 5;

/// Reads the platform's list and sends digests, for as long as the process runs.
pub async fn run_membership(node: Arc<Node>) {
    let settings = GossipSettings::default();
    let mut partners = GossipPartners::new(settings, clock::now());
    let mut interval = tokio::time::interval(ROUND_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut read_at = None;
    loop {
        interval.tick().await;
        let wait = list_read_interval(&node).mul_f64(rand::random_range(0.8..1.2));
        if read_at.is_none_or(|at: Instant| at.elapsed() >= wait)
            && update_instance_list(&node).await
        {
            read_at = Some(Instant::now());
        }
        send_digests(&node, &mut partners).await;
        if let Some(peer) = node.suspect_domain_peer() {
            tokio::spawn(send_start_hint(Arc::clone(&node), peer));
        }
    }
}

fn list_read_interval(node: &Node) -> Duration {
    let members = node.members.lock().others().count();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval =
        MIN_LIST_READ_INTERVAL.max(LIST_READ_INTERVAL_PER_MEMBER.saturating_mul(members));
    if node.is_watcher() || members == 0 {
        interval / WATCHER_LIST_READ_MULTIPLE
    } else {
        interval
    }
}

/// Reads the platform's list into the member table; returns whether the read succeeded.
pub async fn update_instance_list(node: &Node) -> bool {
    match node.platform.instances().await {
        Ok(listed) => {
            node.members
                .lock()
                .apply_instance_list(clock::now(), &listed.instances);
            let lag = Duration::from_millis(listed.lag_ms);
            *node.instance_list.lock() = (listed.instances, lag);
            true
        }
        Err(error) => {
            debug!(node.log.membership, "instance list not read"; "error" => %error);
            false
        }
    }
}

/// Applies a digest, and fetches the bundle of a sender that has a newer one.
pub async fn handle_digest(node: &Arc<Node>, from: &InstanceId, digest: &Digest) {
    let entries = Vec::<GossipEntry>::from(digest.clone());
    let sender_version = entries.first().map_or(0, |entry| entry.bundle_version);
    let known = {
        let mut members = node.members.lock();
        members.apply_digest(clock::now(), from, &entries);
        members.get(&from.name).is_some()
    };
    if !known {
        // An instance that has just started is unknown until the list is read again. Reading it
        // immediately allows both sides to exchange digests.
        update_instance_list(node).await;
    }
    let own = node.bundle.version();
    if digest.head_version == own {
        confirm_active_bundle(node, Duration::from_millis(digest.head_age_ms));
    }
    // An instance without a bundle is excluded: it first queries the store and its peers for the
    // highest version.
    if sender_version > own && node.bundle.active().is_some() {
        fetch_bundle_from(node, &from.name).await;
    }
}

/// Records that a read of the head, `age` ago, returned the installed version.
fn confirm_active_bundle(node: &Node, age: Duration) {
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
    *node.gossip_partners.lock() = chosen.clone();
    for failed in send_digest_to_each(node, chosen).await {
        partners.remove_partner(&failed);
    }
}

/// Sends a digest to every live member of this failure domain, in addition to the gossip rounds.
///
/// Instances must stop sending requests to a leaving backend server within seconds. In a large
/// failure domain, the digests of the gossip rounds do not reach all members in that time.
pub async fn send_digest_to_domain(node: &Node) {
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
    send_digest_to_each(node, names).await;
}

/// Sends a digest to each of the members; returns those to which it could not be sent.
async fn send_digest_to_each(node: &Node, names: Vec<InstanceName>) -> Vec<InstanceName> {
    let (head_version, head_age_ms) = last_head_read(node);
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
            error.concerns_peer().then_some(name)
        }
    }
}

/// Returns the version of the head that was last read from the store, and its age in milliseconds.
fn last_head_read(node: &Node) -> (u64, u64) {
    node.last_head_read
        .load()
        .as_ref()
        .map_or((0, u64::MAX), |read| {
            let age = clock::now().since(read.1).as_millis();
            (read.0, u64::try_from(age).unwrap_or(u64::MAX))
        })
}
