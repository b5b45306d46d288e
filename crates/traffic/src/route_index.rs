//! Index of routes by host and path.

use std::sync::Arc;

use hawthornquay_decisions::Map;

use crate::Route;

/// Index of routes by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: Map<String, Map<String, Arc<Route>>>,
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
        Self { hosts }
    }

    /// Returns the hosts that have routes.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(String::as_str)
    }

    /// Returns the routes of a host, or all routes if the host is unknown.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let host = normalised(host);
        let is_known = self.hosts.contains_key(&host);
        self.hosts
            .iter()
            .filter(move |(name, _)| !is_known || **name == host)
            .flat_map(|(_, routes)| routes.values())
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
pub(crate) fn normalised(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
