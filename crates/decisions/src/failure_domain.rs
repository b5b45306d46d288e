//! Failure domain in the bundle.

use crate::{DomainName, RegionName};

/// Failure domain with its region and its share of the limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureDomain {
    /// Name.
    pub name: DomainName,
    /// Region that it lies in.
    pub region: RegionName,
    /// Weight of its share of each organisation's rate and burst.
    pub limit_weight: u64,
}
