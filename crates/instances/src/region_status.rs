//! State of one region.

use crate::{OrganisationDemand, ServiceLoad};

/// State of one region, as an observer of the store in it reports it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionStatus {
    /// Region name.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of the report.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Demand of each organisation at the instances of the region.
    #[prost(message, repeated, tag = "3")]
    pub demands: Vec<OrganisationDemand>,
    /// Load of each service.
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceLoad>,
}
