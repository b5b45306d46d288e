//! Changes of the list of backend servers in a view of the store.

use crate::ServerRecord;

/// Changes of the list of backend servers after the receiver's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerListChanges {
    /// Store revision after which the changes are complete.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Store revision of the list that results.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Time since that list was read from the store, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Servers that were added or changed.
    #[prost(message, repeated, tag = "4")]
    pub changed: Vec<ServerRecord>,
    /// Identifiers of the servers that are no longer listed.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// Era of the revisions.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}
