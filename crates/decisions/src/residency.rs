//! Places where an organisation's data may go.

use crate::{RegionName, Set};

/// Regions that an organisation's requests and data may enter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Residency {
    /// Every region.
    Any,
    /// Only the listed regions.
    Regions(Set<RegionName>),
}

impl Residency {
    /// Returns whether data may enter `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Regions(regions) => regions.contains(region),
        }
    }
}
