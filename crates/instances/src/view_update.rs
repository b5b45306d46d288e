//! Parts of a view of the store.

use crate::{
    ColdServerRecord, InstanceEntry, InstanceListChanges, ServerListChanges, ServerRecord,
};

/// Parts of the view of the store that are newer than those of the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewUpdate {
    /// Store revision of the evacuations and the configuration; zero if they are omitted.
    #[prost(uint64, tag = "1")]
    pub operator_revision: u64,
    /// Time since the evacuations and the configuration were read from the store, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub operator_age_ms: u64,
    /// Evacuated failure domains: their backend servers receive no requests.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// Version of the configuration.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Configuration document as stored; empty if it is omitted.
    #[prost(bytes = "bytes", tag = "5")]
    pub configuration: ::prost::bytes::Bytes,
    /// Store revision of the list of backend servers; zero if it is omitted.
    #[prost(uint64, tag = "6")]
    pub servers_revision: u64,
    /// Time since the list was read from the store, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub servers_age_ms: u64,
    /// Backend servers.
    #[prost(message, repeated, tag = "8")]
    pub servers: Vec<ServerRecord>,
    /// Revision of the list of instances; zero if it is omitted.
    #[prost(uint64, tag = "9")]
    pub instances_revision: u64,
    /// Instances in the sender's list.
    #[prost(message, repeated, tag = "10")]
    pub instances: Vec<InstanceEntry>,
    /// Changes of the list of backend servers, in place of the complete list.
    #[prost(message, optional, tag = "11")]
    pub server_changes: Option<ServerListChanges>,
    /// Changes of the list of instances, in place of the complete list.
    #[prost(message, optional, tag = "12")]
    pub instance_changes: Option<InstanceListChanges>,
    /// Era of the revision of the evacuations and the configuration.
    #[prost(uint64, tag = "13")]
    pub operator_era: u64,
    /// Era of the revision of the list of backend servers.
    #[prost(uint64, tag = "14")]
    pub servers_era: u64,
    /// Era of the revision of the list of instances.
    #[prost(uint64, tag = "15")]
    pub instances_era: u64,
    /// Backend servers that have stated to the sender that they are cold.
    #[prost(message, repeated, tag = "16")]
    pub cold_servers: Vec<ColdServerRecord>,
    /// Configuration document in zlib format, in place of `configuration`; empty if it is omitted.
    #[prost(bytes = "bytes", tag = "17")]
    pub compressed_configuration: ::prost::bytes::Bytes,
}
