//! Configuration written by the operators.

use std::sync::Arc;

use hawthornquay_decisions::{Map, OrganisationId, ServiceName};

use crate::{CallerLimits, OrganisationConfig, Route, RouteIndex, ServiceConfig};

/// Configuration written by the operators: routes, services, organisations and their API keys.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes by name.
    pub routes: Map<String, Arc<Route>>,
    /// Index of the routes by host and path.
    pub route_index: RouteIndex,
    /// Services by name.
    pub services: Map<ServiceName, ServiceConfig>,
    /// Organisations by identifier.
    pub organisations: Map<OrganisationId, Arc<OrganisationConfig>>,
    /// Organisation of each API key.
    pub keys: Map<String, OrganisationId>,
    /// Limits on caller requests.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Replaces the routes and rebuilds their index.
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

    /// Returns whether a request on `route` needs the key of an organisation.
    pub fn requires_organisation(&self, route: &Route) -> bool {
        !route.open && !self.organisations.is_empty()
    }

    /// Returns the configuration of a service, or `None` if the service is unknown.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }
}
