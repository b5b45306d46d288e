//! Prompt part whose requests are refused.

/// Prompt part that crashes backend servers, so that requests with it are refused.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuarantineRecord {
    /// Identifier of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Time since the first crash that counts against the part, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub first_crash_age_ms: u64,
    /// Time since the quarantine began, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Other parts that explain the same crashes.
    #[prost(fixed64, repeated, tag = "4")]
    pub alternatives: Vec<u64>,
}
