//! Decision to which backend server or domain a request is sent.

use std::time::Duration;

use crate::{
    BackendServer, DomainName, FailureDomain, LoadEstimate, LoadKey, LoadState, Priority, Refusal,
    RefusalCode, RegionName, RoutingDecision, RoutingHop, RoutingRequest, RoutingSnapshot, Set,
    routing_candidate::RoutingCandidate,
};

/// Seconds added to the estimate of another domain of the same region. The value exceeds the path's
/// latency of a few milliseconds because traffic between domains has an extra cost.
const DOMAIN_PATH_COST_SECONDS: f64 = 0.03;
/// Multiple of the send-away margin that applies to batch requests, whose callers do not wait for
/// the first token.
const BATCH_MARGIN_FACTOR: f64 = 4.0;
/// Time after which a caller may retry when no backend server can take its request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides whether to send a request to a backend server or a domain, to queue it or to refuse it.
///
/// `random` breaks ties; each call needs a new random number. While `state.queue_wait` is not zero,
/// the request waits in the queue of the instance, unless forwarding it to another region is
/// better. A request taken from the queue is decided with a `queue_wait` of zero.
pub fn decide_route(
    state: &RoutingSnapshot<'_>,
    req: &RoutingRequest<'_>,
    random: u64,
) -> RoutingDecision {
    Router::new(state, req)
        .decide(random)
        .unwrap_or_else(RoutingDecision::Refuse)
}

struct Router<'a> {
    state: &'a RoutingSnapshot<'a>,
    req: &'a RoutingRequest<'a>,
    /// Backend servers that serve the target.
    serving: Vec<&'a BackendServer>,
    /// Domains of the servers in `serving`.
    domains: Set<&'a DomainName>,
}

/// Candidates of the instance's own region.
#[derive(Default)]
struct LocalCandidates {
    candidates: Vec<RoutingCandidate>,
    /// Whether a server of the instance's domain is backing off and may become usable.
    may_recover: bool,
}

impl<'a> Router<'a> {
    fn new(state: &'a RoutingSnapshot<'a>, req: &'a RoutingRequest<'a>) -> Self {
        let servers = state.bundle.backends.values();
        let serving: Vec<_> = servers.filter(|server| server.serves(req.target)).collect();
        Self {
            state,
            req,
            domains: serving.iter().map(|server| &server.domain).collect(),
            serving,
        }
    }

    fn decide(&self, random: u64) -> Result<RoutingDecision, Refusal> {
        self.check_request()?;
        let mut local = self.own_domain_candidates();
        let forwarded = self.req.hop != RoutingHop::Caller;
        if !forwarded {
            self.add_other_domains(&mut local);
        }
        let may_recover = local.may_recover;
        local
            .candidates
            .retain(|candidate| candidate.first_token_seconds.is_finite());
        let local = RoutingCandidate::choose(prefer_not_full(local.candidates), random);
        if !forwarded && let Some(remote) = self.better_remote_candidate(local.as_ref(), random) {
            return Ok(remote.decision);
        }
        match local {
            Some(local) if !local.is_full && self.state.queue_wait.is_zero() => Ok(local.decision),
            Some(_) => Ok(RoutingDecision::Wait),
            None if may_recover => Ok(RoutingDecision::Wait),
            None if !forwarded && self.remote_domains().next().is_some() => {
                Ok(RoutingDecision::Wait)
            }
            None => Err(Refusal::not_run(
                RefusalCode::NoCapacity,
                "no backend server can take the request now; retry later",
            )
            .with_retry_after(RETRY_AFTER)),
        }
    }

    fn check_request(&self) -> Result<(), Refusal> {
        let refuse = |code, message| Err(Refusal::not_run(code, message));
        if !self.req.residency.allows(&self.state.location.region) {
            return refuse(
                RefusalCode::ResidencyRefused,
                "the organisation's residency does not allow the region of this instance",
            );
        }
        if matches!(self.req.hop, RoutingHop::Forwarded(hops) if hops != 1) {
            return refuse(
                RefusalCode::HopRefused,
                "a request is forwarded at most once",
            );
        }
        if self.req.deadline_left == Some(Duration::ZERO) {
            return refuse(RefusalCode::DeadlineExceeded, "the deadline has passed");
        }
        if self.serving.is_empty() {
            return refuse(
                RefusalCode::RouteUnknown,
                "no backend server serves this model or service",
            );
        }
        if !self.domains.iter().any(|domain| self.allows(domain)) {
            return refuse(
                RefusalCode::ResidencyRefused,
                "no region that the organisation's residency allows serves this model or service",
            );
        }
        Ok(())
    }

    fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.state.bundle.region_of(domain)
    }

    /// Returns whether the residency allows the region of `domain`.
    fn allows(&self, domain: &DomainName) -> bool {
        self.region_of(domain)
            .is_some_and(|region| self.req.residency.allows(region))
    }

    fn own_domain_candidates(&self) -> LocalCandidates {
        let location = self.state.location;
        let mut local = LocalCandidates::default();
        for server in self
            .serving
            .iter()
            .filter(|server| server.domain == location.domain)
        {
            let key = LoadKey::Backend(server.name.clone());
            if self.req.tried.contains(&key) {
                continue;
            }
            match self
                .state
                .view
                .state_or_assumed(&server.name, self.state.now)
            {
                LoadState::Available(estimate) => {
                    let cached = self
                        .state
                        .prefixes
                        .cached_tokens(&server.name, self.req.prefixes);
                    let decision = RoutingDecision::Call(server.name.clone());
                    local
                        .candidates
                        .push(self.candidate(&estimate, cached, 0.0, decision));
                }
                LoadState::BackingOff => local.may_recover = true,
                LoadState::Leaving | LoadState::Unknown => {}
            }
        }
        local
    }

    /// Adds the other domains of the same region.
    fn add_other_domains(&self, local: &mut LocalCandidates) {
        let location = self.state.location;
        let domains = self
            .domains(|domain| domain.region == location.region && domain.name != location.domain);
        for domain in domains {
            if let Some(candidate) = self.domain_candidate(domain, DOMAIN_PATH_COST_SECONDS) {
                local.candidates.push(candidate);
            }
        }
    }

    /// Returns the best domain of another region for which a grant is held, if there is no local
    /// candidate or its time to the first token is longer by more than the send-away margin.
    fn better_remote_candidate(
        &self,
        local: Option<&RoutingCandidate>,
        random: u64,
    ) -> Option<RoutingCandidate> {
        let weights = self.state.bundle.routing;
        let path_cost = weights.path_cost.as_secs_f64();
        let candidates: Vec<_> = self
            .remote_domains()
            .filter(|domain| {
                let grants = self.state.grants;
                grants.available(domain, self.req.target, self.state.now) > 0
            })
            .filter_map(|domain| self.domain_candidate(domain, path_cost))
            .filter(|candidate| !candidate.is_full)
            .collect();
        let remote = RoutingCandidate::choose(candidates, random)?;
        let Some(local) = local else {
            return Some(remote);
        };
        let margin = weights.send_away_margin.as_secs_f64()
            * match self.req.priority {
                Priority::Interactive => 1.0,
                Priority::Batch => BATCH_MARGIN_FACTOR,
            };
        let local_seconds = local.first_token_seconds + self.state.queue_wait.as_secs_f64();
        (local_seconds > remote.first_token_seconds + margin).then_some(remote)
    }

    /// Returns the domains of other regions that serve the target and that the residency allows.
    fn remote_domains(&self) -> impl Iterator<Item = &DomainName> {
        let own = &self.state.location.region;
        self.domains(move |domain| {
            domain.region != *own && self.req.residency.allows(&domain.region)
        })
    }

    fn domains(&self, keep: impl Fn(&FailureDomain) -> bool) -> impl Iterator<Item = &DomainName> {
        let domains = self.domains.iter().copied();
        domains.filter(move |name| self.state.bundle.domains.get(*name).is_some_and(&keep))
    }

    /// Returns a candidate for another domain, unless it has been tried or is not available.
    fn domain_candidate(&self, domain: &DomainName, path_cost: f64) -> Option<RoutingCandidate> {
        let key = LoadKey::Domain(domain.clone(), self.req.target.clone());
        if self.req.tried.contains(&key) {
            return None;
        }
        match self.state.view.state(&key, self.state.now) {
            LoadState::Available(estimate) => {
                let decision = RoutingDecision::Forward(domain.clone());
                Some(self.candidate(&estimate, 0, path_cost, decision))
            }
            _ => None,
        }
    }

    fn candidate(
        &self,
        estimate: &LoadEstimate,
        cached_tokens: u64,
        path_cost: f64,
        decision: RoutingDecision,
    ) -> RoutingCandidate {
        let tokens = self.req.prompt_tokens;
        let kv_full = estimate
            .kv_free_tokens
            .is_some_and(|free| free < tokens.saturating_sub(cached_tokens));
        RoutingCandidate {
            first_token_seconds: path_cost + estimate.first_token_seconds(tokens, cached_tokens),
            // An idle engine accepts any prompt, because its KV cache then holds only prefixes that
            // it can evict.
            is_full: estimate.is_full() || (kv_full && estimate.occupied >= 1.0),
            decision,
        }
    }
}

/// Removes the full candidates if at least one is not full.
fn prefer_not_full(mut candidates: Vec<RoutingCandidate>) -> Vec<RoutingCandidate> {
    if candidates.iter().any(|candidate| !candidate.is_full) {
        candidates.retain(|candidate| !candidate.is_full);
    }
    candidates
}
