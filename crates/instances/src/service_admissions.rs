//! Requests that the servers of a service accepted and rejected.

/// Requests of the sender that the servers of a service in its region accepted and rejected since
/// its last report.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceAdmissions {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of accepted requests.
    #[prost(uint32, tag = "2")]
    pub accepted: u32,
    /// Number of requests rejected because a server was full.
    #[prost(uint32, tag = "3")]
    pub rejected: u32,
}
