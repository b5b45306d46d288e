//! HTTP header of a forwarded answer.

/// HTTP header of a forwarded answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: ::prost::bytes::Bytes,
}
