//! Choice of a server or domain for a request.

use std::time::Duration;

use crate::{
    BackendServer, DomainName, FailureDomain, LoadEstimate, LoadKey, LoadState, Priority, Refusal,
    RefusalCode, RegionName, RoutingDecision, RoutingHop, RoutingRequest, RoutingSnapshot, Set,
    routing_candidate::RoutingCandidate,
};

/// Time charged for forwarding to another domain of the region. It exceeds the path of a few ms,
/// because links between domains cost extra.
const DOMAIN_PATH_SECONDS: f64 = 0.03;
/// Factor on the send-away margin of batch requests, for which nobody waits.
const BATCH_MARGIN: f64 = 4.0;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides where a request goes.
///
/// `random` breaks ties; each call needs a new number. While other requests wait in the instance's
/// own queue, the outcome is [`RoutingDecision::Wait`] unless sending away is better; a request
/// taken from the queue is decided with a `queue_wait` of zero.
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
    serving: Vec<&'a BackendServer>,
    /// Domains with a server in `serving`.
    domains: Set<&'a DomainName>,
}

/// Candidates of one tier, and whether a server exists there that may become usable.
#[derive(Default)]
struct Tier {
    candidates: Vec<RoutingCandidate>,
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
        self.check()?;
        let mut near = self.own_domain();
        let forwarded = self.req.hop != RoutingHop::Caller;
        if !forwarded {
            self.other_domains(&mut near);
        }
        let may_recover = near.may_recover;
        near.candidates
            .retain(|candidate| candidate.seconds.is_finite());
        let near = RoutingCandidate::choose(prefer_free(near.candidates), random);
        if !forwarded && let Some(far) = self.worth_sending_away(near.as_ref(), random) {
            return Ok(far.decision);
        }
        match near {
            Some(near) if !near.is_full && self.state.queue_wait.is_zero() => Ok(near.decision),
            Some(_) => Ok(RoutingDecision::Wait),
            None if may_recover => Ok(RoutingDecision::Wait),
            None if !forwarded && self.far_domains().next().is_some() => Ok(RoutingDecision::Wait),
            None => Err(Refusal::not_run(
                RefusalCode::NoCapacity,
                "no backend server can take the request now; retry later",
            )
            .with_retry_after(RETRY_AFTER)),
        }
    }

    fn check(&self) -> Result<(), Refusal> {
        let refuse = |code, message| Err(Refusal::not_run(code, message));
        if !self.req.residency.allows(&self.state.location.region) {
            return refuse(
                RefusalCode::ResidencyRefused,
                "the organisation's residency does not allow this instance",
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
                "no backend server serves this target",
            );
        }
        if !self.domains.iter().any(|domain| self.allows(domain)) {
            return refuse(
                RefusalCode::ResidencyRefused,
                "no region that the organisation's residency allows serves this target",
            );
        }
        Ok(())
    }

    fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.state.bundle.region_of(domain)
    }

    fn allows(&self, domain: &DomainName) -> bool {
        self.region_of(domain)
            .is_some_and(|region| self.req.residency.allows(region))
    }

    fn own_domain(&self) -> Tier {
        let location = self.state.location;
        let mut tier = Tier::default();
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
                    tier.candidates
                        .push(self.candidate(&estimate, cached, 0.0, decision));
                }
                LoadState::BackingOff => tier.may_recover = true,
                LoadState::Leaving | LoadState::Unknown => {}
            }
        }
        tier
    }

    fn other_domains(&self, tier: &mut Tier) {
        let location = self.state.location;
        let domains = self
            .domains(|domain| domain.region == location.region && domain.name != location.domain);
        for domain in domains {
            if let Some(candidate) = self.domain_candidate(domain, DOMAIN_PATH_SECONDS) {
                tier.candidates.push(candidate);
            }
        }
    }

    /// Returns the best domain of another region, if it beats the wait here by the margin.
    fn worth_sending_away(
        &self,
        near: Option<&RoutingCandidate>,
        random: u64,
    ) -> Option<RoutingCandidate> {
        let weights = self.state.bundle.routing;
        let path = weights.path_cost.as_secs_f64();
        let candidates: Vec<_> = self
            .far_domains()
            .filter(|domain| {
                let grants = self.state.grants;
                grants.available(domain, self.req.target, self.state.now) > 0
            })
            .filter_map(|domain| self.domain_candidate(domain, path))
            .filter(|candidate| !candidate.is_full)
            .collect();
        let far = RoutingCandidate::choose(candidates, random)?;
        let Some(near) = near else {
            return Some(far);
        };
        let margin = weights.send_away_margin.as_secs_f64()
            * match self.req.priority {
                Priority::Interactive => 1.0,
                Priority::Batch => BATCH_MARGIN,
            };
        let wait = near.seconds + self.state.queue_wait.as_secs_f64();
        (wait > far.seconds + margin).then_some(far)
    }

    /// Returns the domains of other regions that serve the target.
    fn far_domains(&self) -> impl Iterator<Item = &DomainName> {
        let own = &self.state.location.region;
        self.domains(move |domain| {
            domain.region != *own && self.req.residency.allows(&domain.region)
        })
    }

    fn domains(&self, keep: impl Fn(&FailureDomain) -> bool) -> impl Iterator<Item = &DomainName> {
        let domains = self.domains.iter().copied();
        domains.filter(move |name| self.state.bundle.domains.get(*name).is_some_and(&keep))
    }

    fn domain_candidate(&self, domain: &DomainName, path: f64) -> Option<RoutingCandidate> {
        let key = LoadKey::Domain(domain.clone(), self.req.target.clone());
        if self.req.tried.contains(&key) {
            return None;
        }
        match self.state.view.state(&key, self.state.now) {
            LoadState::Available(estimate) => {
                let decision = RoutingDecision::Forward(domain.clone());
                Some(self.candidate(&estimate, 0, path, decision))
            }
            _ => None,
        }
    }

    fn candidate(
        &self,
        estimate: &LoadEstimate,
        cached_tokens: u64,
        path: f64,
        decision: RoutingDecision,
    ) -> RoutingCandidate {
        let tokens = self.req.prompt_tokens;
        let kv_full = estimate
            .kv_free_tokens
            .is_some_and(|free| free < tokens.saturating_sub(cached_tokens));
        RoutingCandidate {
            seconds: path + estimate.first_token_seconds(tokens, cached_tokens),
            // An empty engine takes any prompt: a full cache then holds only evictable prefixes.
            is_full: estimate.is_full() || (kv_full && estimate.occupied >= 1.0),
            decision,
        }
    }
}

fn prefer_free(mut candidates: Vec<RoutingCandidate>) -> Vec<RoutingCandidate> {
    if candidates.iter().any(|candidate| !candidate.is_full) {
        candidates.retain(|candidate| !candidate.is_full);
    }
    candidates
}
