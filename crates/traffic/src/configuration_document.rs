//! Configuration as its document lists it, before entries of the same name are merged.

use std::sync::Arc;

use hawthornquay_decisions::{OrganisationId, ServiceName};

use crate::{CallerLimits, Configuration, OrganisationConfig, Route, ServiceConfig};

/// Organisation of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// Identifier.
    pub id: OrganisationId,
    /// API keys.
    pub keys: Vec<String>,
    /// Limits and regions.
    pub config: OrganisationConfig,
}

/// Entries of a configuration document in their order. Names may occur repeatedly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationDocument {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<(ServiceName, ServiceConfig)>,
    /// Organisations.
    pub organisations: Vec<OrganisationEntry>,
    /// Limits on caller requests.
    pub limits: CallerLimits,
}

impl ConfigurationDocument {
    /// Returns the configuration. Of services, organisations and keys that occur repeatedly, the last
    /// one is in force.
    pub fn into_configuration(self) -> Configuration {
        let mut configuration = Configuration {
            version: self.version,
            services: self.services.into_iter().collect(),
            limits: self.limits,
            ..Configuration::default()
        };
        for organisation in self.organisations {
            for key in organisation.keys {
                configuration.keys.insert(key, organisation.id.clone());
            }
            let config = Arc::new(organisation.config);
            configuration.organisations.insert(organisation.id, config);
        }
        configuration.with_routes(self.routes)
    }
}
