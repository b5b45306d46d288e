//! View of the store.

use crate::{InstanceEntry, ServerRecord};

/// View of the store, or the parts of it that the receiver lacks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewUpdate {
    /// Revision of the operators' orders; zero if they are left out.
    #[prost(uint64, tag = "1")]
    pub operator_revision: u64,
    /// Time since the operators' orders were read.
    #[prost(uint64, tag = "2")]
    pub operator_age_ms: u64,
    /// Failure domains whose backend servers get nothing.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// Version of the configuration.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Configuration as the store holds it; empty if it is left out.
    #[prost(bytes = "bytes", tag = "5")]
    pub configuration: ::prost::bytes::Bytes,
    /// Revision of the list of backend servers; zero if it is left out.
    #[prost(uint64, tag = "6")]
    pub servers_revision: u64,
    /// Time since the list was read.
    #[prost(uint64, tag = "7")]
    pub servers_age_ms: u64,
    /// Backend servers.
    #[prost(message, repeated, tag = "8")]
    pub servers: Vec<ServerRecord>,
    /// Revision of the list of instances; zero if it is left out.
    #[prost(uint64, tag = "9")]
    pub instances_revision: u64,
    /// Instances, as the sender's list has them.
    #[prost(message, repeated, tag = "10")]
    pub instances: Vec<InstanceEntry>,
}
