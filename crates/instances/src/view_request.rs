//! Question for a newer view of the store.

/// Question for a newer view of the store, with what the sender has.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewRequest {
    /// Version of the configuration; zero if there is none.
    #[prost(uint64, tag = "1")]
    pub configuration_version: u64,
    /// Revision of the operators' orders.
    #[prost(uint64, tag = "2")]
    pub operator_revision: u64,
    /// Revision of the list of backend servers.
    #[prost(uint64, tag = "3")]
    pub servers_revision: u64,
}
