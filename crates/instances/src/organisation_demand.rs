//! Token demand of an organisation.

/// Token rate that callers of an organisation request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrganisationDemand {
    /// Identifier of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Requested tokens per second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_s: u64,
}
