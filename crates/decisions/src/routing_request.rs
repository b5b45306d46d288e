//! Request to be routed.

use std::time::Duration;

use crate::{LoadKey, PrefixHash, Priority, Residency, RouteTarget, RoutingHop};

/// What routing needs to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// What it is meant for.
    pub target: &'a RouteTarget,
    /// Residency of its organisation.
    pub residency: &'a Residency,
    /// Priority.
    pub priority: Priority,
    /// Prompt length in tokens; zero for plain services.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Where it came from.
    pub hop: RoutingHop,
    /// Servers and domains on which it failed already.
    pub tried: &'a [LoadKey],
    /// Time left until the caller's deadline.
    pub deadline_left: Option<Duration>,
}
