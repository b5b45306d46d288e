//! Region and failure domain of an instance.

use crate::{DomainName, RegionName};

/// Region and failure domain of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingLocation {
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
}
