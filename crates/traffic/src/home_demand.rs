//! Requests with home regions, by host and region.

use hawthornquay_decisions::{Map, RegionName, Set};

use crate::{HomeRegions, RouteIndex, route_index::normalised};

/// Counts the requests with home regions, so that callers who have not named a route yet can be sent
/// to regions that are a home to what they usually request.
#[derive(Clone, Debug, Default)]
pub struct HomeDemand {
    /// Requests of each host by home region.
    counts: Map<String, Map<RegionName, u64>>,
}

impl HomeDemand {
    /// Records a request to a host of the configuration, which may run in `home_regions` only.
    pub fn record(&mut self, host: &str, home_regions: &[RegionName]) {
        let counts = self.counts.entry(normalised(host)).or_default();
        for region in home_regions {
            *counts.entry(region.clone()).or_default() += 1;
        }
    }

    /// Returns the home regions of what callers of `host` request, each weighted by the requests so
    /// far and by one for each route. Hosts that `routes` does not know any more are discarded.
    pub fn home_regions(&mut self, routes: &RouteIndex, host: &str) -> HomeRegions {
        let known: Set<String> = routes.hosts().map(ToOwned::to_owned).collect();
        self.counts.retain(|host, _| known.contains(host));
        let mut weights = self
            .counts
            .get(&normalised(host))
            .cloned()
            .unwrap_or_default();
        for region in routes.routes_of(host).flat_map(|route| &route.home_regions) {
            *weights.entry(region.clone()).or_default() += 1;
        }
        HomeRegions::new(weights)
    }
}
