//! Answer that began to a request with a suspected prompt part.

/// Latest time at which a backend server began to answer a request with a suspected part.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PartStartRecord {
    /// Identifier of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the answer began, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Stage that the answer has reached at least.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
}
