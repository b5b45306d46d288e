//! Index of routes by host and path.

use std::sync::Arc;

use hawthornquay_decisions::{Map, RegionName};

use crate::Route;

/// Index of routes by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: Map<String, Map<String, Arc<Route>>>,
    /// Regions that are a home to most routes of a host; hosts without any are left out.
    host_home_regions: Map<String, Vec<RegionName>>,
    /// Regions that are a home to most routes of all hosts.
    all_home_regions: Option<Vec<RegionName>>,
}

impl RouteIndex {
    /// Builds the index; of several routes with the same host and prefix, the first one wins.
    pub fn new(routes: &[Arc<Route>]) -> Self {
        let mut hosts: Map<String, Map<String, Arc<Route>>> = Map::default();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .entry(route.prefix.clone())
                .or_insert_with(|| route.clone());
        }
        let host_home_regions = hosts
            .iter()
            .filter_map(|(host, routes)| Some((host.clone(), main_home_regions(routes.values())?)))
            .collect();
        Self {
            hosts,
            host_home_regions,
            all_home_regions: main_home_regions(routes.iter()),
        }
    }

    /// Returns the regions besides their own to which callers of `host` may be sent: those that are a
    /// home to most of its routes, since a caller is sent there before it names a route. `None` if no
    /// route has home regions.
    ///
    /// For an unknown host, the routes of all hosts count.
    pub fn home_regions(&self, host: &str) -> Option<&[RegionName]> {
        let host = normalised(host);
        if self.hosts.contains_key(&host) {
            return self.host_home_regions.get(&host).map(Vec::as_slice);
        }
        self.all_home_regions.as_deref()
    }

    /// Returns the route with the longest prefix that matches `path`.
    ///
    /// `host` may include a port, which is ignored, and is compared case-insensitively.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&normalised(host))?;
        path.match_indices('/')
            .rev()
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}

/// Returns a host in lowercase and without its port.
fn normalised(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Returns the regions that are a home to most of `routes`, or `None` if no route has home regions.
fn main_home_regions<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> Option<Vec<RegionName>> {
    let mut counts: Map<&RegionName, usize> = Map::default();
    for region in routes.flat_map(|route| &route.home_regions) {
        *counts.entry(region).or_default() += 1;
    }
    let most = *counts.values().max()?;
    counts.retain(|_, count| *count == most);
    Some(counts.into_keys().cloned().collect())
}
