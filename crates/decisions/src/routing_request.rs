//! Request for which a route is decided.

use std::time::Duration;

use crate::{LoadKey, PrefixHash, Priority, Residency, RouteTarget, RoutingHop};

/// Properties of a request that a routing decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Model or plain service that the request is for.
    pub target: &'a RouteTarget,
    /// Residency of the caller's organisation.
    pub residency: &'a Residency,
    /// Priority class.
    pub priority: Priority,
    /// Prompt length in tokens; zero for plain services.
    pub prompt_tokens: u64,
    /// Hashes of the prefixes of the prompt, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Whether it came from a caller or was forwarded.
    pub hop: RoutingHop,
    /// Servers and domains at which an attempt of the request has already failed.
    pub tried: &'a [LoadKey],
    /// Time left until the caller's deadline.
    pub deadline_left: Option<Duration>,
}
