//! End of a whole answer to a forwarded request.

/// End of a whole answer to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardEnd {
    /// Prompt tokens used.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Output tokens used.
    #[prost(uint64, tag = "2")]
    pub output_tokens: u64,
}
