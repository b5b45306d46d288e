//! Placement of a request in the local region or another one.
//!
//! The regions have their peaks at different times, and no region has the capacity for its own
//! peak. A request stays in the local region as long as its response is expected in time there.
//! Otherwise it goes to the region with the shortest expected time to the first byte, network
//! latency included. A request whose response would be far too late is refused immediately, so that
//! queues stay short during an overload and the responses to admitted requests are in time. The same
//! holds for a stream that would not end before its deadline; one whose events would be too far apart
//! goes to a region where they are much closer together.

use std::time::Duration;

use hawthornquay_decisions::{MonotonicTime, RegionName};

use crate::{
    PREFILL_TOKENS_PER_MS, PlacementDecision, PlacementRequest, RegionTable, ServerPick,
    ServerTable, StreamConcern,
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

/// Maximum expected time to the end of an admitted stream, as a share of the time left until its
/// deadline. The requests that follow slow it down further.
const MAX_END_DEADLINE_SHARE: f64 = 0.75;

/// The same share if more urgent streams with a much shorter latency target use the service. With a
/// larger one, engines stay filled with prompts, and the urgent streams are late.
const MAX_YIELDING_END_SHARE: f64 = 0.4;

/// Time that a stream may take in any case before its deadline, as a multiple of that at an engine with
/// little to do, so that routes with little time are served in calm.
const MAX_SLOWDOWN: f64 = 1.2;

/// Share of the target gap between two events from which a stream counts as slow. Some of its gaps are
/// several times the mean one.
const SLOW_GAP_SHARE: f64 = 0.35;

/// Time between two events in another region, as a share of that in the local one, for a slow stream to
/// be forwarded there. The margin covers the longer path, and keeps two
/// regions from forwarding the same requests to each other.
const FASTER_INTERVAL_SHARE: f64 = 0.6;

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
        && !is_slow(req, pick)
    {
        return PlacementDecision::Server(pick.clone());
    }
    let remote = if options.may_forward {
        best_region(now, req, options, regions, local.is_none())
    } else {
        None
    };
    if offloaded
        && let Some(remote) = &remote
        && remote.expected_latency <= latest_admitted(req)
    {
        return remote.decision(None);
    }
    choose(req, options, local, remote)
}

/// Returns the longest expected latency with which a request is admitted. One that returns to a
/// promise has waited for longer than its target already, so only its deadline counts.
pub(crate) fn latest_admitted(req: &PlacementRequest<'_>) -> Duration {
    let by_deadline = req.time_left.mul_f64(MAX_DEADLINE_SHARE);
    if req.is_returning {
        return by_deadline;
    }
    by_deadline.min(req.target_latency.mul_f64(MAX_TARGET_SHARE))
}

/// Returns whether the stream that answers a request at the picked server is expected to end before
/// the deadline. Otherwise the server would work on it in vain, and delay the streams that run there.
fn ends_in_time(req: &PlacementRequest<'_>, pick: &ServerPick) -> bool {
    let Some(stream) = pick.stream else {
        return true;
    };
    let share = match pick.gives_way {
        true => MAX_YIELDING_END_SHARE,
        false => MAX_END_DEADLINE_SHARE,
    };
    let calm_end = pick.expected_latency + stream.unloaded_duration().mul_f64(MAX_SLOWDOWN);
    let latest_end = req
        .time_left
        .mul_f64(share)
        .max(calm_end.min(req.time_left.mul_f64(MAX_DEADLINE_SHARE)));
    pick.expected_latency + stream.duration() <= latest_end
}

/// Returns whether the events of a stream at the picked server are expected so far apart that the
/// response is late or does not end in time.
fn is_slow(req: &PlacementRequest<'_>, pick: &ServerPick) -> bool {
    let (Some(stream), Some(gap)) = (pick.stream, req.target_event_gap) else {
        return false;
    };
    let gap_ms = gap.as_secs_f64() * 1_000.0;
    stream.interval_ms > SLOW_GAP_SHARE * gap_ms || !ends_in_time(req, pick)
}

/// Another region that may run the request.
struct RemoteRegion {
    name: RegionName,
    /// Expected time to the first byte, network latency included.
    expected_latency: Duration,
    /// Mean time between two events of its streams; zero if unknown.
    event_interval: Duration,
}

impl RemoteRegion {
    fn decision(&self, concern: Option<StreamConcern>) -> PlacementDecision {
        PlacementDecision::Region {
            name: self.name.clone(),
            expected_latency: self.expected_latency,
            concern,
        }
    }

    /// Returns whether the stream is much faster there than at the picked server, where it is slow.
    fn streams_faster(&self, req: &PlacementRequest<'_>, pick: &ServerPick) -> bool {
        let Some(stream) = pick.stream else {
            return false;
        };
        let interval_ms = self.event_interval.as_secs_f64() * 1_000.0;
        is_slow(req, pick)
            && interval_ms > 0.0
            && interval_ms < FASTER_INTERVAL_SHARE * stream.interval_ms
            && self.expected_latency <= latest_admitted(req)
    }
}

/// Chooses between the local region and the best other one, and refuses the request if its response
/// would be too late.
fn choose(
    req: &PlacementRequest<'_>,
    options: &PlacementOptions<'_>,
    local: Option<ServerPick>,
    remote: Option<RemoteRegion>,
) -> PlacementDecision {
    let decision = match (local, remote) {
        (None, None) => return PlacementDecision::Unavailable,
        (Some(pick), None) => PlacementDecision::Server(pick),
        (None, Some(remote)) => remote.decision(None),
        (Some(pick), Some(remote)) => {
            let is_sooner =
                remote.expected_latency + options.forward_margin < pick.expected_latency;
            if is_sooner {
                remote.decision(None)
            } else if !ends_in_time(req, &pick) {
                remote.decision(Some(StreamConcern::Deadline))
            } else if remote.streams_faster(req, &pick) {
                remote.decision(Some(StreamConcern::Slow))
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
        return PlacementDecision::Overloaded {
            expected_latency,
            concern: None,
        };
    }
    if let PlacementDecision::Server(pick) = &decision
        && !ends_in_time(req, pick)
    {
        return PlacementDecision::Overloaded {
            expected_latency,
            concern: Some(StreamConcern::Deadline),
        };
    }
    decision
}

/// Returns the other region with the shortest expected time to the first byte.
///
/// A region that sends requests of its own to others is only chosen as a `last_resort`.
fn best_region(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    options: &PlacementOptions<'_>,
    regions: &RegionTable,
    last_resort: bool,
) -> Option<RemoteRegion> {
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
            let interval = report.event_interval;
            (last_resort || !offloads).then_some((offloads, expected_latency, name, interval))
        })
        .min()
        .map(|(_, expected_latency, name, event_interval)| RemoteRegion {
            name: name.clone(),
            expected_latency,
            event_interval,
        })
}
