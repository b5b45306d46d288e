//! Request for a permit to send to a limited backend server.

use crate::ServerLimitRecord;

/// Request for a permit to send one request to a limited backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// Server and its limit, as the sender knows it.
    #[prost(message, optional, tag = "1")]
    pub limit: Option<ServerLimitRecord>,
}
