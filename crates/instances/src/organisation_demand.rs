//! Demand of an organisation.

/// Tokens that callers of an organisation ask for.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrganisationDemand {
    /// Organisation identifier.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens a second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_s: u64,
}
