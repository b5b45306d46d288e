//! Request passed to an instance of another failure domain.

use crate::{Header, PromptPart};

/// Request passed to an instance of another failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Request identifier.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Organisation identifier.
    #[prost(string, tag = "2")]
    pub organisation: String,
    /// HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Path with query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Hops with this one; always 1.
    #[prost(uint32, tag = "5")]
    pub hop_count: u32,
    /// Bundle version of the sender.
    #[prost(uint64, tag = "6")]
    pub bundle_version: u64,
    /// Time left; zero when the caller gave no deadline.
    #[prost(uint64, tag = "7")]
    pub deadline_ms: u64,
    /// Whether the request has batch priority.
    #[prost(bool, tag = "8")]
    pub batch: bool,
    /// Whether the sender's bundle allows a second run.
    #[prost(bool, tag = "9")]
    pub repeatable: bool,
    /// Model name; empty for plain services.
    #[prost(string, tag = "10")]
    pub model: String,
    /// Plain service name; empty for models.
    #[prost(string, tag = "11")]
    pub service: String,
    /// Prompt length in tokens.
    #[prost(uint64, tag = "12")]
    pub prompt_tokens: u64,
    /// Work that the request asks for, in tokens.
    #[prost(uint64, tag = "13")]
    pub cost: u64,
    /// Content type of the body; empty when the caller gave none.
    #[prost(string, tag = "14")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "15")]
    pub body: ::prost::bytes::Bytes,
    /// Name of the route in the configuration; empty for requests of the gateway's own interface.
    #[prost(string, tag = "16")]
    pub route: String,
    /// Headers of the caller that a backend server may see.
    #[prost(message, repeated, tag = "17")]
    pub headers: Vec<Header>,
    /// Parts of the prompt in their order.
    #[prost(message, repeated, tag = "18")]
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last event that the caller has; zero for a new stream.
    #[prost(uint64, tag = "19")]
    pub last_event: u64,
    /// Backend servers that may run the request from here on; zero leaves that to the receiver.
    #[prost(uint32, tag = "20")]
    pub attempts_left: u32,
}
