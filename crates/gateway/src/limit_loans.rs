//! Loans from the token pools of the organisations' rate limits.
//!
//! Part of each organisation's rate is divided among the regions as token pools. In each region,
//! one instance owns the pool of an organisation. In a large region, a second owner lends if the
//! first is unreachable. An instance whose own share does not cover a request asks the owners to
//! lend the tokens.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{OrganisationId, RegionName};
use hawthornquay_instances::{LoanGrant, LoanRequest, PeerAddress};
use hawthornquay_traffic::ListedInstance;

use crate::{Gateway, gateway::now, wire_views::millis};

/// Time-out for a pool owner in the same region: a round trip, a new link and one retransmission.
const SAME_REGION_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out for a pool owner in another region: two round trips of 55 ms each way, and a margin.
const OTHER_REGION_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest share of a request's latency target that asking another region may take.
const MAX_LOAN_TARGET_SHARE: f64 = 0.5;

/// Nanotokens in a token; loan messages state amounts in nanotokens.
const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Outcome of a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoanOutcome {
    /// A pool lent the tokens.
    Granted,
    /// No pool that was asked has enough tokens. The value is the shortest time until one has.
    Refused(Duration),
    /// No pool owner could be reached.
    Unreachable,
}

/// Asks the pool owners for the tokens of a request, starting with the region of this instance.
///
/// Other regions are asked only if `target`, the latency target of the request, leaves time for
/// it. A request that is refused inside its organisation's rate is lost, while one that waits for a
/// round trip may still be in time.
pub(crate) async fn borrow<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: &OrganisationId,
    tokens: u64,
    target: Duration,
) -> LoanOutcome {
    let mut outcome = LoanOutcome::Unreachable;
    for region in regions_to_ask(gateway, target) {
        let loan = ask_region(gateway, region, organisation, tokens).await;
        outcome = match (outcome, loan) {
            (_, LoanOutcome::Granted) => return LoanOutcome::Granted,
            (LoanOutcome::Refused(known), LoanOutcome::Refused(after)) => {
                LoanOutcome::Refused(known.min(after))
            }
            (known, LoanOutcome::Unreachable) => known,
            (_, refused) => refused,
        };
    }
    outcome
}

/// Handles a loan request of another instance.
pub(crate) fn lend<C, H>(gateway: &Gateway<C, H>, request: &LoanRequest) -> LoanGrant {
    let organisation = OrganisationId::new(&request.organisation);
    let is_owner = {
        let instances = gateway.instances.lock();
        let owners = instances.pool_owners_in(&gateway.settings.region, &organisation);
        owners.iter().any(|owner| owner.id.name == gateway.id.name)
    };
    // Instances may briefly have different instance lists and ask the wrong instance. Only the
    // pools of listed owners lend, so that all loans together stay within the rate.
    if !is_owner {
        slog::debug!(gateway.log.limits, "loan refused: token pool is held by another instance";
            "organisation" => organisation.as_str());
        return LoanGrant::default();
    }
    let tokens = request.level.div_ceil(NANOTOKENS_PER_TOKEN);
    let lent = gateway.limits.lock().lend(now(), &organisation, tokens);
    LoanGrant {
        sequence: request.sequence,
        level: if lent.is_ok() { request.level } else { 0 },
        retry_after_ms: lent.err().map_or(0, |after| millis(after).max(1)),
        ..LoanGrant::default()
    }
}

/// Returns the regions whose pool owners may be asked, starting with the region of this instance.
fn regions_to_ask<C, H>(gateway: &Gateway<C, H>, target: Duration) -> Vec<&RegionName> {
    let own = &gateway.settings.region;
    let has_time = gateway.settings.region_round_trip <= target.mul_f64(MAX_LOAN_TARGET_SHARE);
    let others = gateway
        .regions
        .iter()
        .filter(|region| *region != own && has_time);
    std::iter::once(own).chain(others).collect()
}

/// Asks the owner of a region's pool, or the second owner if the first cannot be reached.
async fn ask_region<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    region: &RegionName,
    organisation: &OrganisationId,
    tokens: u64,
) -> LoanOutcome {
    let owners: Vec<ListedInstance> = {
        let instances = gateway.instances.lock();
        let owners = instances.pool_owners_in(region, organisation);
        owners.into_iter().cloned().collect()
    };
    for owner in owners {
        let name = &owner.id.name;
        if *name != gateway.id.name && !gateway.instances.lock().allow_call(now(), name) {
            continue;
        }
        let loan = ask_owner(gateway, &owner, organisation, tokens).await;
        gateway.metrics.count_loan(match loan {
            LoanOutcome::Granted => "granted",
            LoanOutcome::Refused(_) => "refused",
            LoanOutcome::Unreachable => "unreachable",
        });
        if loan != LoanOutcome::Unreachable {
            return loan;
        }
    }
    LoanOutcome::Unreachable
}

async fn ask_owner<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    owner: &ListedInstance,
    organisation: &OrganisationId,
    tokens: u64,
) -> LoanOutcome {
    let name = &owner.id.name;
    if *name == gateway.id.name {
        let lent = gateway.limits.lock().lend(now(), organisation, tokens);
        return lent.map_or_else(LoanOutcome::Refused, |()| LoanOutcome::Granted);
    }
    let backoff = gateway
        .limits
        .lock()
        .loan_backoff(now(), organisation, name, tokens);
    if let Some(left) = backoff {
        return LoanOutcome::Refused(left);
    }
    let same_region = owner.region == gateway.settings.region;
    let address = PeerAddress {
        name: name.clone(),
        address: owner.peer_address,
        incarnation: None,
    };
    let req = LoanRequest {
        organisation: organisation.to_string(),
        domain: gateway.settings.domain.to_string(),
        level: tokens.saturating_mul(NANOTOKENS_PER_TOKEN),
        ..LoanRequest::default()
    };
    let timeout = if same_region {
        SAME_REGION_TIMEOUT
    } else {
        OTHER_REGION_TIMEOUT
    };
    let response = gateway.links.call(&address, req, timeout).await;
    if response.is_ok() {
        gateway.instances.lock().mark_reachable(name);
    }
    match response {
        Ok(grant) if grant.level > 0 => LoanOutcome::Granted,
        Ok(grant) if grant.retry_after_ms > 0 => {
            let after = Duration::from_millis(grant.retry_after_ms);
            let mut limits = gateway.limits.lock();
            limits.record_loan_refusal(now(), organisation, name, tokens, after);
            LoanOutcome::Refused(after)
        }
        Ok(_) => LoanOutcome::Unreachable,
        Err(error) => {
            slog::debug!(gateway.log.limits, "cannot reach the owner of a token pool";
                "keeper" => name.as_str(), "error" => %error);
            gateway.instances.lock().mark_unreachable(now(), name);
            LoanOutcome::Unreachable
        }
    }
}
