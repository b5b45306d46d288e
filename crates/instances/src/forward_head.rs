//! Start of the response to a forwarded request.

use crate::Header;

/// Status and headers of the response to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardHead {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers for the caller.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Name of the backend server that runs the request.
    #[prost(string, tag = "3")]
    pub backend: String,
}
