//! Demand and load of a region.

use crate::{OrganisationDemand, ServiceLoad};

/// Demand and load of a region, as reported by its leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionStatus {
    /// Name of the region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of the report in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Demand of each organisation at the instances of the region.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<OrganisationDemand>,
    /// Load of each service.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceLoad>,
}
