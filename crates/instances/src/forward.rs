//! Request forwarded to another instance.

use crate::{Header, PromptPart};

/// Request forwarded to an instance of another failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Identifier of the request.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Identifier of the organisation.
    #[prost(string, tag = "2")]
    pub organisation: String,
    /// HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Number of forwarding hops including this one; always 1.
    #[prost(uint32, tag = "5")]
    pub hop_count: u32,
    /// Bundle version in force at the sender.
    #[prost(uint64, tag = "6")]
    pub bundle_version: u64,
    /// Time left until the deadline, in milliseconds; zero if the caller set no deadline.
    #[prost(uint64, tag = "7")]
    pub deadline_ms: u64,
    /// Whether the request has batch priority.
    #[prost(bool, tag = "8")]
    pub batch: bool,
    /// Whether the request may run more than once, according to the sender's bundle.
    #[prost(bool, tag = "9")]
    pub repeatable: bool,
    /// Name of the model; empty for plain services.
    #[prost(string, tag = "10")]
    pub model: String,
    /// Name of the plain service; empty for models.
    #[prost(string, tag = "11")]
    pub service: String,
    /// Prompt length in tokens.
    #[prost(uint64, tag = "12")]
    pub prompt_tokens: u64,
    /// Work that the request requires, in tokens.
    #[prost(uint64, tag = "13")]
    pub cost: u64,
    /// Content type of the body; empty if the caller set none.
    #[prost(string, tag = "14")]
    pub content_type: String,
    /// Request body.
    #[prost(bytes = "bytes", tag = "15")]
    pub body: ::prost::bytes::Bytes,
    /// Name of the route in the configuration; empty for the gateway's own endpoints.
    #[prost(string, tag = "16")]
    pub route: String,
    /// Caller's headers that are passed on to a backend server.
    #[prost(message, repeated, tag = "17")]
    pub headers: Vec<Header>,
    /// Parts of the prompt, in order.
    #[prost(message, repeated, tag = "18")]
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last stream event that the caller has received; zero for a new stream.
    #[prost(uint64, tag = "19")]
    pub last_event: u64,
    /// Maximum number of backend servers that may still be tried; zero lets the receiver decide.
    #[prost(uint32, tag = "20")]
    pub attempts_left: u32,
    /// Length of a body that follows in [`ForwardBody`](crate::ForwardBody) messages; zero if `body`
    /// is the whole body.
    #[prost(uint64, tag = "21")]
    pub body_bytes: u64,
}
