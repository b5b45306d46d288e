//! Part of the response body of a forwarded request.

/// Part of the response body of a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardData {
    /// Bytes of the body.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: ::prost::bytes::Bytes,
}
