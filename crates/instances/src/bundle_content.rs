//! Part of a bundle.

/// Part of a bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleContent {
    /// Version; zero when the receiver has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Head entry of the store, with digest and signatures.
    #[prost(bytes = "bytes", tag = "2")]
    pub head: ::prost::bytes::Bytes,
    /// Index of the part.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Bytes of the part.
    #[prost(bytes = "bytes", tag = "5")]
    pub content: ::prost::bytes::Bytes,
}
