//! Failure domain as configured in the bundle.

use crate::{DomainName, RegionName};

/// Configuration of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureDomain {
    /// Name of the domain.
    pub name: DomainName,
    /// Region that contains the domain.
    pub region: RegionName,
    /// Weight of the domain's share of an organisation's rate and burst, relative to the other
    /// domains that the organisation's residency allows.
    pub limit_weight: u64,
}
