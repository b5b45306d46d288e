//! Message with a part of a bundle.

/// Part of a bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleContent {
    /// Bundle version; zero if the replying instance has no bundle.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Value of the store's head entry, which holds the digest and signatures of the version.
    #[prost(bytes = "bytes", tag = "2")]
    pub head: ::prost::bytes::Bytes,
    /// Index of the part.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Total number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Content of the part.
    #[prost(bytes = "bytes", tag = "5")]
    pub content: ::prost::bytes::Bytes,
}
