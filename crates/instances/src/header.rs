//! HTTP header of a forwarded request or its response.

/// HTTP header of a forwarded request or its response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
    /// Header name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Header value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: ::prost::bytes::Bytes,
}
