//! Place of an instance.

use crate::{DomainName, RegionName};

/// Region and failure domain of the deciding instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingLocation {
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
}
