//! Request for a part of a bundle.

/// Request for a part of a bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleFetch {
    /// Requested version; zero requests the highest version that the receiver has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Index of the requested part.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}
