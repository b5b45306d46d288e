//! Where a request goes, and which places it leaves out after a refusal.

use std::fmt::Write;

use hawthornquay_decisions::{Execution, InstanceName, RefusalCode, RegionName};
use hawthornquay_traffic::{Choice, PlacementRequest, PlacementTerms, place};

use crate::{AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping, gateway::now};

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    pub(crate) fn choose(&self) -> Choice {
        let gateway = &self.gateway;
        let time = now();
        let members = gateway.region_instances();
        let req = PlacementRequest {
            configuration: &self.call.configuration,
            service: &self.call.service,
            work: &self.call.work,
            target: self.call.route.target,
            time_left: self.call.time_left(time),
            avoid: &self.avoid,
            instance: &gateway.id.name,
            region_instances: &members,
            is_local: &|domain| gateway.is_local(domain),
            regions: &gateway.settings.regions,
            storing: &self.call.allowed,
        };
        let allowed: Vec<RegionName> = self
            .call
            .allowed
            .iter()
            .filter(|name| !self.avoid_regions.contains(name))
            .cloned()
            .collect();
        let terms = PlacementTerms {
            home: &gateway.settings.region,
            allowed: &allowed,
            may_leave: !self.call.forwarded,
            round_trip: gateway.settings.region_round_trip,
            margin: gateway.settings.send_away_margin,
        };
        let mut servers = gateway.servers.lock();
        let board = gateway.board.lock();
        place(time, &req, &terms, &mut servers, &board)
    }

    /// Notes what kept every region from taking the request.
    pub(crate) fn note_unavailable(&mut self) {
        let time = now();
        self.trail.push_str("no-server ");
        let board = self.gateway.board.lock();
        for name in &self.call.allowed {
            let known = board.describe(time, name, &self.call.service);
            let _ = write!(self.trail, "{name}:{known} ");
        }
    }

    /// Sends the request to `region` no more, since none of its instances is left for it.
    pub(crate) fn leave_region(&mut self, region: &RegionName) {
        self.avoid_regions.push(region.clone());
        let time = now();
        // Instances that failed this request may well take another one.
        if !self.gateway.instances.lock().has_receiver(time, region) {
            self.gateway.board.lock().fail(time, region);
        }
    }

    pub(crate) fn note_peer_failure(
        &mut self,
        failure: &AttemptFailure,
        peer: &InstanceName,
        region: &RegionName,
    ) {
        self.avoid_peers.push(peer.clone());
        // The instances of a region send to the same servers, so another one refuses too.
        if let AttemptCause::Peer {
            code: RefusalCode::NoCapacity,
            ..
        } = failure.cause
        {
            self.avoid_regions.push(region.clone());
            let (service, tokens) = (&self.call.service, self.call.work.prompt_tokens);
            self.gateway.board.lock().refuse(region, service, tokens);
        }
        if failure.execution != Execution::NotRun {
            self.arrivals += 1;
        }
    }
}
