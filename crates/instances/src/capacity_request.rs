//! Request for the load of another failure domain and permission to send requests there.

/// Request for the load of another failure domain and permission to send requests there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapacityRequest {
    /// Model name; empty for plain services.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Plain service name; empty for models.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Failure domain that would run the requests.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Number of requests that the sender wants to send.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
}
