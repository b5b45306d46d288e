//! Flow-control credit for the response to a forwarded request.

/// Permission to send more data of a response.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardCredit {
    /// Number of bytes of `ForwardData` that the receiver has consumed since its last credit.
    #[prost(uint32, tag = "1")]
    pub bytes: u32,
}
