//! Part of the body of a forwarded request.

/// Part of the body of a forwarded request, after a [`Forward`](crate::Forward) with `body_bytes`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardBody {
    /// Next bytes of the body.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: ::prost::bytes::Bytes,
}
