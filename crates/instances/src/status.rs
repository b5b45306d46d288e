//! State and load of an instance and of regions.

use crate::{
    CrashRecord, LeavingServerRecord, OrganisationDemand, PartStartRecord, QuarantineRecord,
    RegionStatus, ReturnPromiseRecord, ServerLimitRecord, ServerUse, ServiceAdmissions,
};

/// State and load of an instance. The leader of a region adds the load of regions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// Region of the sender.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Failure domain of the sender.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Whether the sender is leaving and accepts no new requests.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Store revision of the sender's view of the operators' configuration and evacuations.
    #[prost(uint64, tag = "5")]
    pub operator_revision: u64,
    /// Time since that view was read from the store, in milliseconds, by the sender or by the
    /// instance from which it received the view.
    #[prost(uint64, tag = "6")]
    pub operator_age_ms: u64,
    /// Store revision of the sender's list of backend servers.
    #[prost(uint64, tag = "7")]
    pub servers_revision: u64,
    /// Time since that list was read from the store, in milliseconds, by the sender or by the
    /// instance from which it received the list.
    #[prost(uint64, tag = "8")]
    pub servers_age_ms: u64,
    /// Demand of each organisation at the sender.
    #[prost(message, repeated, tag = "9")]
    pub demands: Vec<OrganisationDemand>,
    /// Requests of the sender in flight at backend servers.
    #[prost(message, repeated, tag = "10")]
    pub uses: Vec<ServerUse>,
    /// Demand and load of regions; sent only by the leader of a region.
    #[prost(message, repeated, tag = "11")]
    pub regions: Vec<RegionStatus>,
    /// Requests of all instances of the region in flight at backend servers; sent only by its
    /// leader.
    #[prost(message, repeated, tag = "12")]
    pub region_uses: Vec<ServerUse>,
    /// Store revision of the last change of the sender's list of backend servers; zero if unknown.
    #[prost(uint64, tag = "13")]
    pub servers_changed_revision: u64,
    /// Store revision of the sender's list of instances; zero if unknown.
    #[prost(uint64, tag = "14")]
    pub instances_revision: u64,
    /// Store revision of the last change of the sender's list of instances.
    #[prost(uint64, tag = "15")]
    pub instances_changed_revision: u64,
    /// Requests of the sender that servers of its region accepted and rejected.
    #[prost(message, repeated, tag = "16")]
    pub admissions: Vec<ServiceAdmissions>,
    /// Crashes of backend servers that the sender has learned of lately; an instance that is no
    /// leader sends only those that it has observed.
    #[prost(message, repeated, tag = "17")]
    pub crashes: Vec<CrashRecord>,
    /// Answers that began lately to requests with suspected prompt parts.
    #[prost(message, repeated, tag = "18")]
    pub part_starts: Vec<PartStartRecord>,
    /// Quarantined prompt parts.
    #[prost(message, repeated, tag = "19")]
    pub quarantined_parts: Vec<QuarantineRecord>,
    /// Era of the revision of the operators' configuration and evacuations.
    #[prost(uint64, tag = "20")]
    pub operator_era: u64,
    /// Era of the revisions of the list of backend servers.
    #[prost(uint64, tag = "21")]
    pub servers_era: u64,
    /// Era of the revisions of the list of instances.
    #[prost(uint64, tag = "22")]
    pub instances_era: u64,
    /// Backend servers that have announced lately that they are leaving.
    #[prost(message, repeated, tag = "23")]
    pub leaving_servers: Vec<LeavingServerRecord>,
    /// Limits of backend servers that have changed lately, or of which nothing is left.
    #[prost(message, repeated, tag = "24")]
    pub server_limits: Vec<ServerLimitRecord>,
    /// Capacity promised to refused requests that have not returned; an instance that is no leader
    /// sends only its own promises.
    #[prost(message, repeated, tag = "25")]
    pub return_promises: Vec<ReturnPromiseRecord>,
    /// Keys of promises that were redeemed and have not ended; an instance that is no leader sends
    /// only those of requests that returned to it.
    #[prost(fixed64, repeated, tag = "26")]
    pub redeemed_promises: Vec<u64>,
    /// Time since the sender's list of instances was last known to be current, in milliseconds;
    /// missing if unknown.
    #[prost(uint64, optional, tag = "27")]
    pub instances_age_ms: Option<u64>,
}
