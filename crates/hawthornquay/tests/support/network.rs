//! Simulated network between the regions of a fleet.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{DelayRelay, Direction};

/// One-way delay between two regions.
pub const REGION_ONE_WAY: Duration = Duration::from_millis(55);

/// Relays between the regions, and from each region to the platform, which is in the first region.
///
/// Each region has its own relay to each instance of another region. The relay to the platform
/// replaces the peer addresses in the instance list by the addresses of these relays.
#[derive(Default)]
pub struct Network {
    platform: BTreeMap<String, DelayRelay>,
    peers: BTreeMap<(String, usize), DelayRelay>,
    regions: Vec<String>,
}

impl Network {
    /// Starts the relays; `regions` contains the region of each instance.
    pub async fn start(regions: &[String]) -> Self {
        let mut network = Self {
            regions: regions.to_vec(),
            ..Self::default()
        };
        for region in regions {
            if network.platform.contains_key(region) {
                continue;
            }
            let one_way = if *region == regions[0] {
                Duration::ZERO
            } else {
                REGION_ONE_WAY
            };
            let relay = DelayRelay::start(one_way).await;
            network.platform.insert(region.clone(), relay);
            for (index, target) in regions.iter().enumerate() {
                if target != region {
                    let relay = DelayRelay::start(REGION_ONE_WAY).await;
                    network.peers.insert((region.clone(), index), relay);
                }
            }
        }
        network
    }

    /// Sets the servers to which the relays connect.
    pub fn set_targets(&self, platform: SocketAddr, peers: &[SocketAddr]) {
        for ((_, index), relay) in &self.peers {
            relay.set_target(peers[*index]);
        }
        for (region, relay) in &self.platform {
            let rewrites = self
                .peers
                .iter()
                .filter(|((source, _), _)| source == region)
                .map(|((_, index), relay)| (peers[*index].to_string(), relay.address().to_string()))
                .collect();
            relay.set_rewrites(rewrites);
            relay.set_target(platform);
        }
    }

    /// Returns the relay from a region to the platform.
    pub fn platform(&self, region: &str) -> &DelayRelay {
        &self.platform[region]
    }

    /// Returns the relay from a region to an instance of another region.
    pub fn peer(&self, region: &str, index: usize) -> &DelayRelay {
        &self.peers[&(region.to_owned(), index)]
    }

    /// Partitions a region from the platform and the other regions, or heals the partition.
    pub fn set_partitioned(&self, region: &str, partitioned: bool) {
        self.set_platform_partitioned(region, partitioned);
        for ((source, index), relay) in &self.peers {
            if source == region || self.regions[*index] == region {
                set_both_held(relay, partitioned);
            }
        }
    }

    /// Partitions a region from the platform, or heals the partition.
    pub fn set_platform_partitioned(&self, region: &str, partitioned: bool) {
        set_both_held(self.platform(region), partitioned);
    }

    /// Stalls the open connections between a region and the others for good, in both directions;
    /// new connections work.
    pub fn stall_open_connections(&self, region: &str) {
        let between_regions = self
            .peers
            .iter()
            .filter(|((source, index), _)| source == region || self.regions[*index] == region)
            .map(|(_, relay)| relay);
        for relay in between_regions.chain([self.platform(region)]) {
            relay.stall_open_connections(Direction::ToServer);
            relay.stall_open_connections(Direction::ToClient);
        }
    }
}

fn set_both_held(relay: &DelayRelay, held: bool) {
    relay.set_held(Direction::ToServer, held);
    relay.set_held(Direction::ToClient, held);
}
