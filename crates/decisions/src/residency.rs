//! Data residency of an organisation.

use crate::{RegionName, Set};

/// Regions that may receive an organisation's requests and data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Residency {
    /// Every region.
    Any,
    /// Only the listed regions.
    Regions(Set<RegionName>),
}

impl Residency {
    /// Returns whether `region` may receive the requests and data.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Regions(regions) => regions.contains(region),
        }
    }
}
