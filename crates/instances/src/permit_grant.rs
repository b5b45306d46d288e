//! Reply to a request for a permit.

use crate::ServerLimitRecord;

/// Decision on a request to a limited backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitGrant {
    /// Whether the request may be sent now.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// Time for which no request may be sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// Limit of the server, as the sender knows it.
    #[prost(message, optional, tag = "3")]
    pub limit: Option<ServerLimitRecord>,
}
