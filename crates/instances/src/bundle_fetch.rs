//! Request for a part of a bundle.

/// Request for a part of a bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleFetch {
    /// Wanted version; zero asks for the highest that the receiver has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Index of the wanted part.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}
