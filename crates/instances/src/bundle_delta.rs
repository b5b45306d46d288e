//! Announcement of a bundle version by a watcher of the store.

/// Announcement of a bundle version by a watcher of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleDelta {
    /// Version in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that `delta` applies to.
    #[prost(uint64, tag = "2")]
    pub base_version: u64,
    /// Head entry of the store, with digest and signatures.
    #[prost(bytes = "bytes", tag = "3")]
    pub head: ::prost::bytes::Bytes,
    /// Difference from `base_version`; empty when the message only confirms the version.
    #[prost(bytes = "bytes", tag = "4")]
    pub delta: ::prost::bytes::Bytes,
}
