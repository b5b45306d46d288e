//! Request passed to an instance of another failure domain.

/// Request passed to an instance of another failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Request identifier.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Organisation identifier.
    #[prost(string, tag = "2")]
    pub organisation: String,
    /// Route of the request.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Hops with this one; always 1.
    #[prost(uint32, tag = "4")]
    pub hop_count: u32,
    /// Bundle version of the sender.
    #[prost(uint64, tag = "5")]
    pub bundle_version: u64,
    /// Time left.
    #[prost(uint64, tag = "6")]
    pub deadline_ms: u64,
    /// Whether the request has batch priority.
    #[prost(bool, tag = "7")]
    pub batch: bool,
    /// Model name; empty for plain services.
    #[prost(string, tag = "8")]
    pub model: String,
    /// Backend server that the sender suggests; may be empty.
    #[prost(string, tag = "9")]
    pub backend: String,
    /// Content type of the body.
    #[prost(string, tag = "10")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "11")]
    pub body: ::prost::bytes::Bytes,
}
