//! Changes of the list of instances in a view of the store.

use crate::InstanceEntry;

/// Changes of the list of instances after the receiver's.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstanceListChanges {
    /// Store revision after which the changes are complete.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Store revision of the list that results.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Instances that were added or changed.
    #[prost(message, repeated, tag = "3")]
    pub changed: Vec<InstanceEntry>,
    /// Names of the instances that are no longer listed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Era of the revisions.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}
