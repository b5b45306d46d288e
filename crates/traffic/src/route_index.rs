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

    /// Returns the route with the longest prefix that matches `path`.
    ///
    /// `host` may include a port, which is ignored, and is compared case-insensitively.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        path.match_indices('/')
            .rev()
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}
