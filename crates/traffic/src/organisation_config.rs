//! Configuration of an organisation.

use hawthornquay_decisions::RegionName;

/// Rate limit, priority and regions of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationConfig {
    /// Rate limit across the fleet, in tokens per second; zero for no limit.
    pub rate: u64,
    /// Maximum burst across the fleet, in tokens.
    pub burst: u64,
    /// Tokens charged for a request that does not declare its token counts.
    pub default_request_tokens: u64,
    /// Priority that overrides the route's priority; zero is the highest.
    pub priority: Option<u8>,
    /// Regions that may process its requests; empty for all regions.
    pub home_regions: Vec<RegionName>,
}
