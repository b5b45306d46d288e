//! Request that is routed to a backend server.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{
    MonotonicTime, Organisation, PrefixHash, Priority, RequestId, RouteTarget, RoutingHop,
};
use http::Method;

use crate::clock;

/// Request that has been admitted and is routed to a backend server.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Organisation that it runs for.
    pub organisation: Organisation,
    /// Model or service that it is for.
    pub target: RouteTarget,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Priority in the queue and at the backend server.
    pub priority: Priority,
    /// Estimated length of the prompt, in tokens; 0 for a service.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, for routing by cached prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// Cost in tokens: prompt and output limit, or the cost of the route.
    pub cost: u64,
    /// Whether it came from a caller or was forwarded by an instance.
    pub hop: RoutingHop,
    /// Time of its arrival at this instance.
    pub arrived: MonotonicTime,
    /// Time at which the caller stops waiting.
    pub deadline: Option<MonotonicTime>,
    /// Body of the request.
    pub body: Bytes,
}

impl OutboundRequest {
    /// Returns the time until the deadline: zero after it, `None` without one.
    pub fn time_left(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.since(clock::now()))
    }
}
