//! Instance in the store's list.

/// Instance in the store's list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceEntry {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Address for other instances.
    #[prost(string, tag = "5")]
    pub peers: String,
    /// Address for callers.
    #[prost(string, tag = "6")]
    pub callers: String,
}
