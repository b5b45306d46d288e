//! Links between the regions of a fleet.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{DelayRelay, Direction};

/// One-way time between two regions.
pub const REGION_ONE_WAY: Duration = Duration::from_millis(55);

/// Relays between regions and towards the platform, which is in the first region.
///
/// Each region reaches an instance of another region over a relay of its own. The relay to the
/// platform puts its address into the instance list.
#[derive(Default)]
pub struct Network {
    platform: BTreeMap<String, DelayRelay>,
    peers: BTreeMap<(String, usize), DelayRelay>,
    regions: Vec<String>,
}

impl Network {
    /// Starts the relays; `regions` holds the region of each instance.
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

    /// Connects the relays with the servers.
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

    /// Returns the relay of a region to the platform.
    pub fn platform(&self, region: &str) -> &DelayRelay {
        &self.platform[region]
    }

    /// Returns the relay of a region to an instance of another region.
    pub fn peer(&self, region: &str, index: usize) -> &DelayRelay {
        &self.peers[&(region.to_owned(), index)]
    }

    /// Cuts a region off from the platform and the other regions, or heals that.
    pub fn set_cut(&self, region: &str, cut: bool) {
        self.set_platform_cut(region, cut);
        for ((source, index), relay) in &self.peers {
            if source == region || self.regions[*index] == region {
                silence(relay, cut);
            }
        }
    }

    /// Cuts a region off from the platform, or heals that.
    pub fn set_platform_cut(&self, region: &str, cut: bool) {
        silence(self.platform(region), cut);
    }

    /// Loses the connections of a region that are open: they stay silent, and new ones work.
    pub fn lose_open(&self, region: &str) {
        let far = self
            .peers
            .iter()
            .filter(|((source, index), _)| source == region || self.regions[*index] == region)
            .map(|(_, relay)| relay);
        for relay in far.chain([self.platform(region)]) {
            relay.freeze_open(Direction::ToServer);
            relay.freeze_open(Direction::ToClient);
        }
    }
}

fn silence(relay: &DelayRelay, silent: bool) {
    relay.set_silent(Direction::ToServer, silent);
    relay.set_silent(Direction::ToClient, silent);
}
