//! Permission to send more of a forwarded answer.

/// Permission to send more of a forwarded answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardCredit {
    /// Bytes of `ForwardData` that the receiver has consumed.
    #[prost(uint32, tag = "1")]
    pub bytes: u32,
}
