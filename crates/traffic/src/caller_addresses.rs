//! Addresses that the directory names to callers.

use std::net::SocketAddr;

use hawthornquay_decisions::RegionName;

use crate::{CallerProximity, ListedInstance};

/// Addresses that the directory names to the callers of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerAddresses {
    /// Addresses for callers.
    pub addresses: Vec<SocketAddr>,
    /// Where their instances are, as seen by the callers.
    pub proximity: CallerProximity,
    /// Regions of the instances, each once.
    pub regions: Vec<RegionName>,
}

impl CallerAddresses {
    /// Names the given instances.
    pub fn new<'a>(
        proximity: CallerProximity,
        instances: impl Iterator<Item = &'a ListedInstance>,
    ) -> Self {
        let mut this = Self {
            proximity,
            ..Self::default()
        };
        for instance in instances {
            this.addresses.push(instance.caller_address);
            if !this.regions.contains(&instance.region) {
                this.regions.push(instance.region.clone());
            }
        }
        this
    }
}
