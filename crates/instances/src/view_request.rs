//! Request for a newer view of the store.

/// Request for a newer view of the store than the sender's.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewRequest {
    /// Version of the sender's configuration; zero if it has none.
    #[prost(uint64, tag = "1")]
    pub configuration_version: u64,
    /// Store revision of the sender's view of the configuration and evacuations.
    #[prost(uint64, tag = "2")]
    pub operator_revision: u64,
    /// Store revision of the sender's list of backend servers.
    #[prost(uint64, tag = "3")]
    pub servers_revision: u64,
    /// Whether the sender applies changes of lists; otherwise it needs the complete lists.
    #[prost(bool, tag = "4")]
    pub accepts_changes: bool,
    /// Store revision of the sender's list of instances.
    #[prost(uint64, tag = "5")]
    pub instances_revision: u64,
    /// Era of the revision of the configuration and evacuations.
    #[prost(uint64, tag = "6")]
    pub operator_era: u64,
    /// Era of the revision of the list of backend servers.
    #[prost(uint64, tag = "7")]
    pub servers_era: u64,
    /// Era of the revision of the list of instances.
    #[prost(uint64, tag = "8")]
    pub instances_era: u64,
    /// Whether the sender reads a compressed configuration document.
    #[prost(bool, tag = "9")]
    pub accepts_compressed: bool,
}
