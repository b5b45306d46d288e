//! Regions to which callers of a host may be sent.

use hawthornquay_decisions::{Map, RegionName, Set};

/// Share of the weight of the best region that a region needs to be named beside it.
const MIN_WEIGHT_SHARE: f64 = 0.9;

/// Regions besides their own to which callers of a host may be sent, weighted by the requests of
/// which they are a home; any region if none has a weight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions {
    weights: Map<RegionName, u64>,
}

impl HomeRegions {
    /// Builds the regions from their weights.
    pub const fn new(weights: Map<RegionName, u64>) -> Self {
        Self { weights }
    }

    /// Returns those of the regions with a usable instance to which callers may be sent.
    pub fn best_of(&self, usable: &Set<&RegionName>) -> Set<RegionName> {
        let weight = |name: &RegionName| self.weights.get(name).copied().unwrap_or_default();
        let best = usable.iter().map(|name| weight(name)).max();
        let least = best.unwrap_or_default() as f64 * MIN_WEIGHT_SHARE;
        usable
            .iter()
            .filter(|name| {
                let weight = weight(name);
                self.weights.is_empty() || (weight > 0 && weight as f64 >= least)
            })
            .map(|name| (*name).clone())
            .collect()
    }
}
