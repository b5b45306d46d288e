//! Routing decision for one request, based on the state of this instance.

use std::time::Duration;

use hawthornquay_decisions::{
    Bundle, LoadKey, RoutingDecision, RoutingRequest, RoutingSnapshot, decide_route,
};

use crate::{Node, OutboundRequest, RoutingState, clock};

/// Decides how to route a request, and consumes a grant if it goes to another region.
///
/// If the grant has been used up in the meantime, the request must wait.
pub fn choose_route(
    node: &Node,
    bundle: &Bundle,
    req: &OutboundRequest,
    tried: &[LoadKey],
    queue_wait: Duration,
) -> RoutingDecision {
    let mut routing = node.routing.lock();
    let decision = decide(node, &routing, bundle, req, tried, queue_wait);
    if let RoutingDecision::Forward(domain) = &decision
        && bundle.region_of(domain) != Some(&node.location.region)
        && !routing
            .grants
            .try_consume(domain, &req.target, clock::now())
    {
        return RoutingDecision::Wait;
    }
    decision
}

/// Returns whether a queued request would now be routed or refused.
pub fn can_be_routed(
    node: &Node,
    bundle: &Bundle,
    req: &OutboundRequest,
    tried: &[LoadKey],
) -> bool {
    let routing = node.routing.lock();
    decide(node, &routing, bundle, req, tried, Duration::ZERO) != RoutingDecision::Wait
}

fn decide(
    node: &Node,
    routing: &RoutingState,
    bundle: &Bundle,
    req: &OutboundRequest,
    tried: &[LoadKey],
    queue_wait: Duration,
) -> RoutingDecision {
    let snapshot = RoutingSnapshot {
        bundle,
        view: &routing.view,
        prefixes: &routing.prefixes,
        grants: &routing.grants,
        location: &node.location,
        queue_wait,
        now: clock::now(),
    };
    let request = RoutingRequest {
        target: &req.target,
        residency: &req.organisation.residency,
        priority: req.priority,
        prompt_tokens: req.prompt_tokens,
        prefixes: &req.prefixes,
        hop: req.hop,
        tried,
        deadline_left: req.time_left(),
    };
    decide_route(&snapshot, &request, rand::random())
}
