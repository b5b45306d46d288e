//! State of one member as the sender of a digest knows it.

use crate::BackendLoad;

/// State of one member as the sender of a digest knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DigestEntry {
    /// Instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation that the rest of the entry belongs to.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counter that the member raises each second.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Bundle version in force at the member.
    #[prost(uint64, tag = "4")]
    pub bundle_version: u64,
    /// Whether the member takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Backend servers that the member polls.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<BackendLoad>,
}
