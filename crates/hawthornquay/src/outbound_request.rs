//! Request on its way to a backend server.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{
    MonotonicTime, Organisation, PrefixHash, Priority, RequestId, RouteTarget, RoutingHop,
};
use http::Method;

use crate::clock;

/// Request that has passed the checks of its entry instance.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Identifier.
    pub id: RequestId,
    /// Organisation that it runs for.
    pub organisation: Organisation,
    /// What it is meant for.
    pub target: RouteTarget,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Content type.
    pub content_type: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// Work that it asks for, in tokens.
    pub cost: u64,
    /// Where it came from.
    pub hop: RoutingHop,
    /// When it arrived at this instance.
    pub arrived: MonotonicTime,
    /// When the caller stops waiting.
    pub deadline: Option<MonotonicTime>,
    /// Body.
    pub body: Bytes,
}

impl OutboundRequest {
    /// Returns the time left until the caller stops waiting.
    pub fn time_left(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.since(clock::now()))
    }
}
