//! Choice between the own region and the others.
//!
//! The regions' peaks are offset, and none can carry its own. A request stays at home while it is
//! expected on time there, and otherwise goes where the first part of its answer comes soonest,
//! the path included. One that would come far too late is refused at once, so that the queues of an
//! overload stay short and those admitted are on time.

use std::time::Duration;

use hawthornquay_decisions::{MonotonicTime, RegionName};

use crate::{
    PREFILL_TOKENS_PER_MS, PlacementDecision, PlacementRequest, RegionTable, ServerPick,
    ServerTable,
};

/// Part of the expected time to the answer within which the own region is not left.
const AT_HOME: f64 = 0.5;

/// Part of the time left that a predicted answer may take; later ones are refused.
const LATEST: f64 = 0.95;

/// Part of the expected time to the answer up to which requests are admitted. Beyond it, a longer
/// queue makes all answers late and serves none more; the rest covers errors of the predictions,
/// which are too short under load.
const QUEUE_LIMIT: f64 = 0.8;

/// Terms of the choice between regions.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions<'a> {
    /// Own region.
    pub local_region: &'a RegionName,
    /// Regions that may run and carry the request, the own one perhaps among them.
    pub allowed_regions: &'a [RegionName],
    /// Whether the request may go to another region.
    pub may_forward: bool,
    /// Time to another region and back.
    pub region_round_trip: Duration,
    /// Gain that a request must have in another region.
    pub forward_margin: Duration,
}

/// Chooses where a request goes.
pub fn place(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    terms: &PlacementOptions<'_>,
    servers: &mut ServerTable,
    board: &RegionTable,
) -> PlacementDecision {
    let local = if terms.allowed_regions.contains(terms.local_region) {
        servers.pick(now, req)
    } else {
        None
    };
    if let Some(pick) = &local
        && pick.expected_latency <= req.target_latency.mul_f64(AT_HOME)
    {
        return PlacementDecision::Server(pick.clone());
    }
    let remote = if terms.may_forward {
        best_region(now, req, terms, board)
    } else {
        None
    };
    choose(req, terms, local, remote)
}

fn choose(
    req: &PlacementRequest<'_>,
    terms: &PlacementOptions<'_>,
    local: Option<ServerPick>,
    remote: Option<(RegionName, Duration)>,
) -> PlacementDecision {
    let choice = match (local, remote) {
        (None, None) => return PlacementDecision::Unavailable,
        (Some(pick), None) => PlacementDecision::Server(pick),
        (None, Some((name, expected))) => PlacementDecision::Region {
            name,
            expected_latency: expected,
        },
        (Some(pick), Some((name, expected))) => {
            if expected + terms.forward_margin < pick.expected_latency {
                PlacementDecision::Region {
                    name,
                    expected_latency: expected,
                }
            } else {
                PlacementDecision::Server(pick)
            }
        }
    };
    let expected = match &choice {
        PlacementDecision::Server(pick) => pick.expected_latency,
        PlacementDecision::Region {
            expected_latency: expected,
            ..
        } => *expected,
        PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => return choice,
    };
    let latest = req
        .time_left
        .mul_f64(LATEST)
        .min(req.target_latency.mul_f64(QUEUE_LIMIT));
    if expected > latest {
        return PlacementDecision::Overloaded {
            expected_latency: expected,
        };
    }
    choice
}

fn best_region(
    now: MonotonicTime,
    req: &PlacementRequest<'_>,
    terms: &PlacementOptions<'_>,
    board: &RegionTable,
) -> Option<(RegionName, Duration)> {
    let engine = req
        .configuration
        .service(req.service)
        .is_some_and(|service| service.engine.is_some());
    let reading = if engine {
        let ms = req.work.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS;
        Duration::from_secs_f64(ms / 1_000.0)
    } else {
        Duration::ZERO
    };
    terms
        .allowed_regions
        .iter()
        .filter(|name| *name != terms.local_region)
        .filter_map(|name| {
            let report = board.available_load(now, name, req.service, req.work.prompt_tokens)?;
            Some((
                name.clone(),
                report.expected_latency + reading + terms.region_round_trip,
            ))
        })
        .min_by_key(|(_, expected)| *expected)
}
