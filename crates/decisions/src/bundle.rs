//! Configuration in force.

use crate::{
    BackendName, BackendServer, DomainName, FailureDomain, KeyDigest, KeyGrant, Map, Organisation,
    OrganisationId, RegionName, RoutingWeights, ServiceRoute, Signer,
};

/// One version of the operators' configuration, checked and typed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// Version; each accepted bundle's is one above its predecessor's.
    pub version: u64,
    /// Salt of the key digests.
    pub key_salt: Vec<u8>,
    /// Operators whose signatures count for the next version.
    pub signers: Vec<Signer>,
    /// Signatures that the next version needs.
    pub signatures_needed: u32,
    /// Failure domains by name.
    pub domains: Map<DomainName, FailureDomain>,
    /// Organisations by identifier.
    pub organisations: Map<OrganisationId, Organisation>,
    /// Granted keys by digest.
    pub keys: Map<KeyDigest, KeyGrant>,
    /// Routes to plain services, in the order of the file.
    pub routes: Vec<ServiceRoute>,
    /// Backend servers by name.
    pub backends: Map<BackendName, BackendServer>,
    /// Weights of routing.
    pub routing: RoutingWeights,
}

impl Bundle {
    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.domains.get(domain).map(|domain| &domain.region)
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation_of(&self, digest: &KeyDigest) -> Option<&Organisation> {
        self.organisations.get(&self.keys.get(digest)?.organisation)
    }

    /// Returns the service route with the longest prefix of `path`, at a segment's end.
    pub fn route_for(&self, path: &str) -> Option<&ServiceRoute> {
        self.routes
            .iter()
            .filter(|route| {
                path.strip_prefix(route.path.as_str())
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            })
            .max_by_key(|route| route.path.len())
    }
}
