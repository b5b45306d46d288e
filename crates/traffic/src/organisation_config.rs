//! Terms of an organisation.

use hawthornquay_decisions::RegionName;

/// Terms of an organisation in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationConfig {
    /// Tokens a second over the whole fleet; zero for no limit.
    pub rate: u64,
    /// Tokens that may be spent at once over the whole fleet.
    pub burst: u64,
    /// Tokens that a request without a declared use counts as.
    pub default_request_tokens: u64,
    /// Rank that replaces the one of the route; zero is the most urgent.
    pub priority: Option<u8>,
    /// Regions that may run and carry its requests; empty for all.
    pub home_regions: Vec<RegionName>,
}
