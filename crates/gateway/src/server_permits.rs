//! Permits for requests to backend servers that take a limited number of them.
//!
//! One instance of the region grants the requests to a limited server. A second one stands in for it
//! while it cannot be reached. An instance asks before each request, so that the sum over all instances
//! holds whatever they know of each other.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{InstanceId, InstanceName};
use hawthornquay_instances::{PermitGrant, PermitRequest};
use hawthornquay_traffic::{PermitDecision, ServerLimit, ServerPick, granting_instances};

use crate::{
    ControlPlane, Gateway, HeaderMapping,
    gateway::now,
    limit_loans::peer_address,
    wire_views::{limit_record, millis, server_limit},
};

/// Time-out for an instance of the same region: a round trip, a new link and one retransmission.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);

impl<C, H> Gateway<C, H> {
    /// Returns the instances of the region that may grant permits. One that is stopping is not among
    /// them: the others no longer ask it.
    pub(crate) fn permit_candidates(&self) -> Vec<InstanceName> {
        let instances = self.instances.lock();
        let mut names = instances.active_names_in(&self.settings.region);
        if names.is_empty() {
            names.push(self.id.name.clone());
        }
        names
    }
}

impl<C: ControlPlane, H: HeaderMapping> Gateway<C, H> {
    /// Returns whether a request may be sent to the picked server, after asking the instances that grant
    /// the permits for at most `max_wait`. After a denial, the server is not picked for a while.
    pub(crate) async fn obtain_permit(
        self: &Arc<Self>,
        pick: &ServerPick,
        max_wait: Duration,
    ) -> bool {
        let limit = self.servers.lock().limit(now(), &pick.id);
        let Some(limit) = limit else {
            // The server is gone, and the pick is made again.
            return false;
        };
        let decision = self.decide_permit(&limit, max_wait).await;
        self.metrics.count_permit(match decision {
            PermitDecision::Granted => "granted",
            PermitDecision::Unlimited => "unlimited",
            PermitDecision::Denied(_) => "denied",
        });
        match decision {
            PermitDecision::Granted | PermitDecision::Unlimited => true,
            PermitDecision::Denied(after) => {
                self.servers.lock().record_denial(now(), &pick.id, after);
                false
            }
        }
    }

    async fn decide_permit(
        self: &Arc<Self>,
        limit: &ServerLimit,
        max_wait: Duration,
    ) -> PermitDecision {
        let deadline = now() + max_wait;
        let server = (&limit.id, limit.started_ms);
        let candidates = self.permit_candidates();
        for instance in granting_instances(&limit.id, &candidates) {
            if *instance == self.id.name {
                let mut servers = self.servers.lock();
                return servers.grant_permit(now(), server, instance, &candidates);
            }
            let left = deadline.since(now());
            if left.is_zero() {
                break;
            }
            if let Some(decision) = self.ask_permit(limit, instance, left).await {
                return decision;
            }
        }
        // Without any request, this instance would not learn that the limit has ended.
        let mut servers = self.servers.lock();
        servers.grant_alone(now(), server, candidates.len())
    }

    /// Asks another instance for a permit; `None` if it cannot be reached.
    async fn ask_permit(
        &self,
        limit: &ServerLimit,
        instance: &InstanceName,
        max_wait: Duration,
    ) -> Option<PermitDecision> {
        let time = now();
        let peer = {
            let mut instances = self.instances.lock();
            let is_allowed = instances.allow_call(time, instance);
            instances.get(instance).filter(|_| is_allowed).cloned()?
        };
        let req = PermitRequest {
            limit: Some(limit_record(time, limit)),
        };
        let wait = PERMIT_TIMEOUT.min(max_wait);
        let grant = match self.links.call(&peer_address(&peer), req, wait).await {
            Ok(grant) => grant,
            Err(error) => {
                slog::debug!(self.log.limits, "cannot ask an instance for a permit";
                    "instance" => instance.as_str(), "error" => %error);
                if error.concerns_peer() {
                    self.instances.lock().mark_unreachable(now(), instance);
                }
                return None;
            }
        };
        self.instances.lock().mark_reachable(instance);
        if grant.is_granted {
            return Some(PermitDecision::Granted);
        }
        let time = now();
        let mut servers = self.servers.lock();
        if let Some(record) = &grant.limit {
            servers.apply_limit(time, &server_limit(time, record));
        }
        let known = servers.limit(time, &limit.id);
        Some(match known.is_some_and(|limit| limit.per_s.is_none()) {
            true => PermitDecision::Unlimited,
            false => PermitDecision::Denied(Duration::from_millis(grant.retry_after_ms)),
        })
    }

    /// Decides on a request of another instance to a limited server.
    pub(crate) fn answer_permit_request(
        &self,
        from: &InstanceId,
        request: &PermitRequest,
    ) -> PermitGrant {
        let time = now();
        let Some(record) = &request.limit else {
            return PermitGrant::default();
        };
        let candidates = self.permit_candidates();
        let reported = server_limit(time, record);
        let server = (&reported.id, reported.started_ms);
        let mut servers = self.servers.lock();
        servers.apply_limit(time, &reported);
        let decision = servers.grant_permit(time, server, &self.id.name, &candidates);
        slog::trace!(self.log.limits, "permit";
            "from" => %from, "server" => reported.id.as_str(), "decision" => ?decision);
        PermitGrant {
            is_granted: decision == PermitDecision::Granted,
            retry_after_ms: match decision {
                PermitDecision::Denied(after) => millis(after).max(1),
                PermitDecision::Granted | PermitDecision::Unlimited => 0,
            },
            limit: servers
                .limit(time, &reported.id)
                .map(|limit| limit_record(time, &limit)),
        }
    }
}
