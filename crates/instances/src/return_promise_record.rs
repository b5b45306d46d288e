//! Capacity promised to a refused request.

/// Capacity promised to a refused request for its return. Organisation and service are hashes, so
/// that the records stay small.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReturnPromiseRecord {
    /// Hash of the organisation, the service and the last part of the prompt.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Hash of the service.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// Hash of the organisation.
    #[prost(fixed32, tag = "3")]
    pub organisation: u32,
    /// Prompt tokens of the request.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
    /// Priority of the request; zero is the most urgent.
    #[prost(uint32, tag = "5")]
    pub urgency: u32,
    /// Time until the promise ends, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub ends_in_ms: u64,
}
