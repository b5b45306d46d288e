//! Entry of the list of instances.

/// Entry of the store's list of instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceEntry {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the instance.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Region of the instance.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Failure domain of the instance.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Address for other instances.
    #[prost(string, tag = "5")]
    pub peers: String,
    /// Address for callers.
    #[prost(string, tag = "6")]
    pub callers: String,
    /// Bandwidth of its network link in Mbit/s; zero if unknown.
    #[prost(uint32, tag = "7")]
    pub link_mbps: u32,
}
