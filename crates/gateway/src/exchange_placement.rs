//! Placement of a request, and the exclusion of destinations after failures.

use std::{fmt::Write, time::Duration};

use hawthornquay_decisions::{BackendName, Execution, InstanceName, RefusalCode, RegionName};
use hawthornquay_traffic::{
    PlacementDecision, PlacementOptions, PlacementRequest, ServerPick, StreamConcern, place,
};

use crate::{AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping, gateway::now};

/// Number of permits denied to a request after which no other instance is asked for one. Each question
/// takes a round trip.
const MAX_DENIED_PERMITS: u32 = 4;

/// Longest share of a request's latency target that asking for permits may take.
const MAX_PERMIT_TARGET_SHARE: f64 = 0.5;

/// Factor by which a server has to be slower than expected for a request to be placed again.
const SLOWER_PACE_FACTOR: f64 = 1.3;

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Chooses a backend server or a region for the next attempt; never the server `silent`.
    pub(crate) fn choose_placement(&self, silent: Option<&BackendName>) -> PlacementDecision {
        let gateway = &self.gateway;
        let mut excluded_servers = self.excluded_servers.clone();
        excluded_servers.extend(silent.cloned());
        let time = now();
        let members = gateway.region_instances();
        let req = PlacementRequest {
            configuration: &self.request.configuration,
            service: &self.request.service,
            work: &self.request.work,
            target_latency: self.request.route.target_latency,
            target_event_gap: self.request.route.semantics.target_event_gap(),
            route_priority: self.request.route.priority,
            time_left: self.request.time_left(time),
            excluded_servers: &excluded_servers,
            instance: &gateway.id.name,
            region_instances: &members,
            is_region_settled: gateway.membership.lock().is_settled(time),
            may_ask_permits: self.denied_permits < MAX_DENIED_PERMITS
                && self.permit_wait < self.max_permit_wait(),
            may_grant_permits: gateway.permit_candidates().contains(&gateway.id.name),
            is_local: &|domain| gateway.is_local(domain),
            domain_regions: &gateway.settings.regions,
            storage_regions: &self.request.allowed,
            reserved_latency: gateway.reserved_latency(time, &self.request),
            is_returning: gateway.may_exceed_target(time, &self.request),
        };
        let allowed: Vec<RegionName> = self
            .request
            .allowed
            .iter()
            .filter(|name| !self.excluded_regions.contains(name))
            .cloned()
            .collect();
        let options = PlacementOptions {
            local_region: &gateway.settings.region,
            allowed_regions: &allowed,
            may_forward: !self.request.forwarded,
            region_round_trip: gateway.settings.region_round_trip,
            forward_margin: gateway.settings.send_away_margin,
        };
        let mut servers = gateway.servers.lock();
        let board = gateway.region_board.lock();
        place(time, &req, &options, &mut servers, &board)
    }

    /// Obtains what a placement needs before the request is sent, and records the request as sent to the
    /// picked server. Returns `None` if it has to be placed again.
    pub(crate) async fn prepare(
        &mut self,
        placement: PlacementDecision,
        left: Duration,
    ) -> Option<PlacementDecision> {
        let sends_request = matches!(
            placement,
            PlacementDecision::Server(_) | PlacementDecision::Region { .. }
        );
        if sends_request && !self.begin_trial() {
            return None;
        }
        if let PlacementDecision::Server(pick) = &placement
            && pick.is_limited
            && !self.obtain_permit(pick, left).await
        {
            return None;
        }
        let placement = self.check_pace(placement).await;
        if let PlacementDecision::Server(pick) = &placement
            && !self.record_sent(pick)
        {
            let is_paused = self.gateway.servers.lock().is_paused(now(), &pick.id);
            let reason = if is_paused { "paused" } else { "cold" };
            let _ = write!(self.attempt_trace, "{}/{reason} ", pick.id);
            return None;
        }
        Some(placement)
    }

    /// Records the request as sent; returns whether the picked server may still get it. Others may have
    /// used its cold rate, or it may have asked for a pause, while this request waited.
    fn record_sent(&self, pick: &ServerPick) -> bool {
        let time = now();
        let mut servers = self.gateway.servers.lock();
        let may_send = servers.may_send(time, pick);
        if may_send {
            servers.record_sent(time, pick, self.request.work.shared_prefix_hash());
        }
        may_send
    }

    /// Asks the picked server for its pace before a long stream if the last statement is old, and places
    /// the request again if the server is slower than expected.
    async fn check_pace(&self, placement: PlacementDecision) -> PlacementDecision {
        let (pick, expected) = match &placement {
            // A later attempt may replace a silent one, whose server must not be picked again.
            PlacementDecision::Server(pick)
                if pick.is_pace_unknown && !pick.is_limited && self.attempts == 0 =>
            {
                (pick, pick.pace.unwrap_or(1.0))
            }
            _ => return placement,
        };
        let Some(pace) = self.gateway.ask_pace(pick, &self.request.service).await else {
            return placement;
        };
        if pace < expected * SLOWER_PACE_FACTOR {
            return placement;
        }
        self.gateway.metrics.count_slower_pace();
        match self.choose_placement(None) {
            PlacementDecision::Server(pick) if pick.is_limited => placement,
            PlacementDecision::Server(pick) => PlacementDecision::Server(pick),
            _ => placement,
        }
    }

    /// Adds the picked server and what was predicted for it to the attempt trace.
    pub(crate) fn trace_pick(&mut self, pick: &ServerPick) {
        let trace = &mut self.attempt_trace;
        let (expected, requests) = (pick.expected_latency.as_millis(), pick.requests);
        let _ = write!(trace, "{}~{expected}ms/{requests}", pick.id);
        if pick.is_cold {
            trace.push_str("/cold");
        }
        if let Some(pace) = pick.pace {
            let _ = write!(trace, "/x{pace:.2}");
        }
        if let Some(stream) = pick.stream {
            let end = pick.expected_latency + stream.duration();
            let _ = write!(trace, "/end{}ms", end.as_millis());
        }
        trace.push(' ');
    }

    /// Counts a request that is forwarded or refused only because of the expected course of its stream.
    pub(crate) fn count_stream_concern(&self, placement: &PlacementDecision) {
        let (action, concern) = match placement {
            PlacementDecision::Region { concern, .. } => ("forwarded", *concern),
            PlacementDecision::Overloaded { concern, .. } => ("refused", *concern),
            PlacementDecision::Server(_) | PlacementDecision::Unavailable => return,
        };
        let reason = match concern {
            Some(StreamConcern::Deadline) => "deadline",
            Some(StreamConcern::Slow) => "slow",
            None => return,
        };
        self.gateway.metrics.count_stream_concern(action, reason);
    }

    /// Returns whether this instance may send the request to the picked server, which takes a limited
    /// number of them.
    async fn obtain_permit(&mut self, pick: &ServerPick, left: Duration) -> bool {
        let asked_at = now();
        let max_wait = self.max_permit_wait().saturating_sub(self.permit_wait);
        let is_granted = self.gateway.obtain_permit(pick, max_wait.min(left)).await;
        self.permit_wait += now().since(asked_at);
        if !is_granted {
            self.denied_permits += 1;
            let _ = write!(self.attempt_trace, "{}/denied ", pick.id);
        }
        is_granted
    }

    /// Returns the longest time that the request may wait for answers about permits.
    fn max_permit_wait(&self) -> Duration {
        let target = self.request.route.target_latency;
        target.mul_f64(MAX_PERMIT_TARGET_SHARE)
    }

    /// Adds the known load of each allowed region to the attempt trace.
    pub(crate) fn trace_region_loads(&mut self) {
        let time = now();
        self.attempt_trace.push_str("no-server ");
        let board = self.gateway.region_board.lock();
        for name in &self.request.allowed {
            let known = board.describe(time, name, &self.request.service);
            let _ = write!(self.attempt_trace, "{name}:{known} ");
        }
    }

    /// Excludes `region` from further attempts, since every instance there has failed the request
    /// or is unreachable.
    pub(crate) fn exclude_region(&mut self, region: &RegionName) {
        self.excluded_regions.push(region.clone());
        let time = now();
        // Instances that failed this request may still accept another one, so the region is paused
        // for all requests only if none of them is reachable.
        if !self
            .gateway
            .instances
            .lock()
            .has_reachable_instance(time, region)
        {
            self.gateway
                .region_board
                .lock()
                .mark_unreachable(time, region);
        }
    }

    /// Excludes an instance that failed the request, or its region if that has no capacity.
    pub(crate) fn record_peer_failure(
        &mut self,
        failure: &AttemptFailure,
        peer: &InstanceName,
        region: &RegionName,
    ) {
        self.excluded_instances.push(peer.clone());
        // The instances of a region share its backend servers, so the others would refuse as well. Paused
        // servers refuse requests of one instance only.
        if let AttemptCause::Peer {
            code: RefusalCode::NoCapacity,
            ..
        } = failure.cause
        {
            self.excluded_regions.push(region.clone());
            let (service, tokens) = (&self.request.service, self.request.work.prompt_tokens);
            self.gateway
                .region_board
                .lock()
                .record_refusal(region, service, tokens);
        }
        if failure.execution != Execution::NotRun {
            self.delivered_attempts += 1;
        }
    }
}
