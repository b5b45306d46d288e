//! Operators' configuration of the fleet.

use crate::{
    BackendName, BackendServer, DomainName, FailureDomain, KeyDigest, KeyGrant, Map, Organisation,
    OrganisationId, RegionName, RoutingWeights, ServiceRoute, Signer,
};

/// One version of the configuration that operators sign, parsed and validated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// Version number; each accepted bundle has the version of its predecessor plus one.
    pub version: u64,
    /// Salt for the digests of caller keys.
    pub key_salt: Vec<u8>,
    /// Operators whose signatures are accepted on the next version.
    pub signers: Vec<Signer>,
    /// Number of signatures that the next version needs.
    pub signatures_needed: u32,
    /// Failure domains by name.
    pub domains: Map<DomainName, FailureDomain>,
    /// Organisations by identifier.
    pub organisations: Map<OrganisationId, Organisation>,
    /// Caller keys by digest.
    pub keys: Map<KeyDigest, KeyGrant>,
    /// Routes to plain services, in the order of the bundle file.
    pub routes: Vec<ServiceRoute>,
    /// Backend servers by name.
    pub backends: Map<BackendName, BackendServer>,
    /// Weights that the routing decision uses.
    pub routing: RoutingWeights,
}

impl Bundle {
    /// Returns the region of a failure domain, or `None` if the bundle does not list the domain.
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.domains.get(domain).map(|domain| &domain.region)
    }

    /// Returns the organisation that owns the caller key with this digest, or `None` for an unknown
    /// key.
    pub fn organisation_of(&self, digest: &KeyDigest) -> Option<&Organisation> {
        self.organisations.get(&self.keys.get(digest)?.organisation)
    }

    /// Returns the service route with the longest path prefix that matches `path`, if any matches.
    ///
    /// A prefix matches only at a segment boundary: `/a/b` matches `/a/b/c`, but not `/a/bc`.
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
