//! Placement of a request in the local region or another one.
//!
//! The regions have their peaks at different times, and no region has the capacity for its own
//! peak. A request stays in the local region as long as its response is expected in time there.
//! Otherwise it goes to the region with the shortest expected time to the first byte, network
//! latency included. A request whose response would be far too late is refused immediately, so that
//! queues stay short during an overload and the responses to admitted requests are in time.

use std::time::Duration;

use hawthornquay_decisions::{MonotonicTime, RegionName};

use crate::{
    PREFILL_TOKENS_PER_MS, PlacementDecision, PlacementRequest, RegionTable, ServerPick,
    ServerTable,
};

/// Maximum expected latency for a request to stay in the local region regardless of the other
/// regions, as a share of its latency target.
const STAY_LOCAL_TARGET_SHARE: f64 = 0.5;

/// Maximum expected latency of an admitted request, as a share of the time left until its deadline.
const MAX_DEADLINE_SHARE: f64 = 0.95;

/// Maximum expected latency of an admitted request, as a share of its latency target. A longer
/// queue would delay all responses without serving more requests. The rest of the target covers
/// prediction errors, since predictions are too short under load.
const MAX_TARGET_SHARE: f64 = 0.8;

/// Options for the placement of a request across regions.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions<'a> {
    /// Region of this instance.
    pub local_region: &'a RegionName,
    /// Regions that may process the request; may include the local region.
    pub allowed_regions: &'a [RegionName],
    /// Whether the request may be forwarded to another region.
    pub may_forward: bool,
    /// Network round-trip time between two regions.
    pub region_round_trip: Duration,
    /// Minimum reduction of the expected latency for which a request is forwarded.
    pub forward_margin: Duration,
}

/// Decides where to send a request.
///
/// `servers` are the backend servers of the local region, and `regions` has the reports of the
/// others.
pub fn place(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    options: &PlacementOptions<'_>,
    servers: &mut ServerTable,
    regions: &RegionTable,
) -> PlacementDecision {
    let local = if options.allowed_regions.contains(options.local_region) {
        servers.pick(now, req)
    } else {
        None
    };
    let local = local.map(|pick| ServerPick {
        expected_latency: pick.expected_latency + req.reserved_latency,
        ..pick
    });
    let offload = regions.offload(now, options.local_region, req.service);
    let offloaded = options.may_forward && servers.draw(req.instance) < offload;
    if let Some(pick) = &local
        && !offloaded
        && pick.expected_latency <= req.target_latency.mul_f64(STAY_LOCAL_TARGET_SHARE)
    {
        return PlacementDecision::Server(pick.clone());
    }
    let remote = if options.may_forward {
        best_region(now, req, options, regions, local.is_none())
    } else {
        None
    };
    if offloaded
        && let Some((name, expected_latency)) = &remote
        && *expected_latency <= latest_admitted(req)
    {
        return PlacementDecision::Region {
            name: name.clone(),
            expected_latency: *expected_latency,
        };
    }
    choose(req, options, local, remote)
}

/// Returns the longest expected latency with which a request is admitted. One that returns to a
/// promise has waited for longer than its target already, so only its deadline counts.
fn latest_admitted(req: &PlacementRequest<'_>) -> Duration {
    let by_deadline = req.time_left.mul_f64(MAX_DEADLINE_SHARE);
    if req.is_returning {
        return by_deadline;
    }
    by_deadline.min(req.target_latency.mul_f64(MAX_TARGET_SHARE))
}

/// Chooses between the local region and the best other one, and refuses the request if its response
/// would be too late.
fn choose(
    req: &PlacementRequest<'_>,
    options: &PlacementOptions<'_>,
    local: Option<ServerPick>,
    remote: Option<(RegionName, Duration)>,
) -> PlacementDecision {
    let decision = match (local, remote) {
        (None, None) => return PlacementDecision::Unavailable,
        (Some(pick), None) => PlacementDecision::Server(pick),
        (None, Some((name, expected_latency))) => PlacementDecision::Region {
            name,
            expected_latency,
        },
        (Some(pick), Some((name, expected_latency))) => {
            if expected_latency + options.forward_margin < pick.expected_latency {
                PlacementDecision::Region {
                    name,
                    expected_latency,
                }
            } else {
                PlacementDecision::Server(pick)
            }
        }
    };
    let expected_latency = match &decision {
        PlacementDecision::Server(pick) => pick.expected_latency,
        PlacementDecision::Region {
            expected_latency, ..
        } => *expected_latency,
        PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => return decision,
    };
    if expected_latency > latest_admitted(req) {
        return PlacementDecision::Overloaded { expected_latency };
    }
    decision
}

/// Returns the other region with the shortest expected time to the first byte, and that time.
///
/// A region that sends requests of its own to others is only chosen as a `last_resort`.
fn best_region(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    options: &PlacementOptions<'_>,
    regions: &RegionTable,
    last_resort: bool,
) -> Option<(RegionName, Duration)> {
    let engine = req
        .configuration
        .service(req.service)
        .is_some_and(|service| service.engine.is_some());
    let prefill = if engine {
        let ms = req.work.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS;
        Duration::from_secs_f64(ms / 1_000.0)
    } else {
        Duration::ZERO
    };
    options
        .allowed_regions
        .iter()
        .filter(|name| *name != options.local_region)
        .filter_map(|name| {
            let report = regions.available_load(now, name, req.service, req.work.prompt_tokens)?;
            let offloads = report.offload_permille > 0;
            let expected_latency = report.expected_latency + prefill + options.region_round_trip;
            (last_resort || !offloads).then_some((offloads, expected_latency, name))
        })
        .min()
        .map(|(_, expected_latency, name)| (name.clone(), expected_latency))
}
