//! State and load of an instance.

use crate::{OrganisationDemand, RegionStatus, ServerUse};

/// State and load of an instance, and of its region if it observes the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// Region of the sender.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Failure domain of the sender.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Whether the sender takes no new requests.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Revision of the store up to which the sender knows the operators' orders.
    #[prost(uint64, tag = "5")]
    pub operator_revision: u64,
    /// Time since the sender, or one that it heard of, read the operators' orders.
    #[prost(uint64, tag = "6")]
    pub operator_age_ms: u64,
    /// Revision of the store at the sender's list of backend servers.
    #[prost(uint64, tag = "7")]
    pub servers_revision: u64,
    /// Time since the sender, or one that it heard of, read that list.
    #[prost(uint64, tag = "8")]
    pub servers_age_ms: u64,
    /// Demand at the sender.
    #[prost(message, repeated, tag = "9")]
    pub demands: Vec<OrganisationDemand>,
    /// Work that the sender has at backend servers.
    #[prost(message, repeated, tag = "10")]
    pub uses: Vec<ServerUse>,
    /// States of regions; only from an observer.
    #[prost(message, repeated, tag = "11")]
    pub regions: Vec<RegionStatus>,
    /// Work that all instances of the region have at backend servers; only from an observer.
    #[prost(message, repeated, tag = "12")]
    pub region_uses: Vec<ServerUse>,
}
