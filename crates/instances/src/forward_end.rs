//! End of the response to a forwarded request.

/// End of a complete response to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardEnd {
    /// Number of prompt tokens processed.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Number of output tokens generated.
    #[prost(uint64, tag = "2")]
    pub output_tokens: u64,
}
