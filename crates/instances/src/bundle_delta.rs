//! Announcement of a bundle version.

/// Announcement of a bundle version by an instance that watches the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleDelta {
    /// Announced version, which is in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that `delta` applies to.
    #[prost(uint64, tag = "2")]
    pub base_version: u64,
    /// Value of the store's head entry, which holds the digest and signatures of the version.
    #[prost(bytes = "bytes", tag = "3")]
    pub head: ::prost::bytes::Bytes,
    /// Difference from `base_version`; empty if the message only confirms the version.
    #[prost(bytes = "bytes", tag = "4")]
    pub delta: ::prost::bytes::Bytes,
}
