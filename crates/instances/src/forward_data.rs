//! Piece of the answer to a forwarded request.

/// Piece of the answer to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardData {
    /// Bytes of the answer's body.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: ::prost::bytes::Bytes,
}
