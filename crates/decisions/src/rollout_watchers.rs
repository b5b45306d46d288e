//! Instances that watch the store and those that they notify.

use crate::{InstanceName, InstanceState, RegionName, RolloutMember};

/// Watchers of each region; two, so that one may fail.
const WATCHERS_PER_REGION: usize = 2;

/// Returns the watchers of `region`: its first two live instances by name.
pub fn rollout_watchers<'a>(
    region: &RegionName,
    members: &[RolloutMember<'a>],
) -> Vec<&'a InstanceName> {
    let mut live: Vec<_> = members
        .iter()
        .filter(|member| member.region == region && member.state == InstanceState::Live)
        .map(|member| member.name)
        .collect();
    live.sort_unstable();
    live.dedup();
    live.truncate(WATCHERS_PER_REGION);
    live
}

/// Returns the instances that `own` notifies: none unless it is a watcher of its region.
///
/// Leaving instances are notified too, since a revoked key must stop there as well.
pub fn rollout_peers_to_notify<'a>(
    own: &InstanceName,
    region: &RegionName,
    members: &[RolloutMember<'a>],
) -> Vec<&'a InstanceName> {
    if !rollout_watchers(region, members).contains(&own) {
        return Vec::new();
    }
    let mut peers: Vec<_> = members
        .iter()
        .filter(|member| member.region == region && member.state != InstanceState::Gone)
        .map(|member| member.name)
        .filter(|name| *name != own)
        .collect();
    peers.sort_unstable();
    peers.dedup();
    peers
}
