//! Configuration of the operators.

use std::sync::Arc;

use hawthornquay_decisions::{Map, OrganisationId, ServiceName};

use crate::{CallerLimits, OrganisationConfig, Route, RouteIndex, ServiceConfig};

/// Configuration of the operators: routes, services, organisations and their keys.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Routes by name.
    pub routes: Map<String, Arc<Route>>,
    /// Index of the routes by host and path.
    pub route_index: RouteIndex,
    /// Services.
    pub services: Map<ServiceName, ServiceConfig>,
    /// Organisations.
    pub organisations: Map<OrganisationId, Arc<OrganisationConfig>>,
    /// Organisations by the keys that they hold.
    pub keys: Map<String, OrganisationId>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Replaces the routes and their index.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        let routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        self.route_index = RouteIndex::new(&routes);
        self.routes = routes
            .into_iter()
            .map(|route| (route.name.clone(), route))
            .collect();
        self
    }

    /// Returns the terms of a service; `None` if the configuration does not have it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }
}
