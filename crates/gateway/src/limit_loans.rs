//! Loans from the token pools of the organisations' rate limits.
//!
//! Part of each organisation's rate is divided among the regions as token pools. In each region,
//! one instance owns the pool of an organisation. In a large region, a second owner lends if the
//! first is unreachable. An instance whose own share does not cover a request asks the owners to
//! lend the tokens. An owner whose pool runs low takes tokens from the pools of other regions in the
//! background.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{OrganisationId, RegionName};
use hawthornquay_instances::{LoanGrant, LoanRequest, PeerAddress};
use hawthornquay_traffic::ListedInstance;

use crate::{ControlPlane, Gateway, HeaderMapping, gateway::now, wire_views::millis};

/// Time-out for a pool owner in the same region: a round trip, a new link and one retransmission.
const SAME_REGION_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out for a pool owner in another region: two round trips of 55 ms each way, and a margin.
const OTHER_REGION_TIMEOUT: Duration = Duration::from_millis(300);

/// Time-out for a transfer between the pools of two regions, which may have to open a link first.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);

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
pub(crate) async fn borrow<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: &OrganisationId,
    tokens: u64,
    target: Duration,
) -> LoanOutcome {
    let mut outcome = LoanOutcome::Unreachable;
    let deadline = now() + target.mul_f64(MAX_LOAN_TARGET_SHARE);
    for region in regions_to_ask(gateway, target) {
        let left = deadline.since(now());
        if left.is_zero() {
            break;
        }
        let loan = ask_region(gateway, region, organisation, tokens, left).await;
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
pub(crate) fn lend<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    request: &LoanRequest,
) -> LoanGrant {
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
    if request.transfer {
        let mut limits = gateway.limits.lock();
        let taken = limits.take_for_transfer(now(), &organisation, tokens);
        return LoanGrant {
            sequence: request.sequence,
            level: taken.saturating_mul(NANOTOKENS_PER_TOKEN),
            ..LoanGrant::default()
        };
    }
    let lent = lend_from_pool(gateway, &organisation, tokens);
    LoanGrant {
        sequence: request.sequence,
        level: if lent.is_ok() { request.level } else { 0 },
        retry_after_ms: lent.err().map_or(0, |after| millis(after).max(1)),
        ..LoanGrant::default()
    }
}

/// Lends tokens from the pool that this instance owns, and starts a transfer from other regions if
/// the pool runs low.
fn lend_from_pool<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: &OrganisationId,
    tokens: u64,
) -> Result<(), Duration> {
    let (lent, wanted) = {
        let mut limits = gateway.limits.lock();
        let lent = limits.lend(now(), organisation, tokens);
        (lent, limits.tokens_to_transfer(now(), organisation))
    };
    if let Some(wanted) = wanted {
        let (gateway, organisation) = (gateway.clone(), organisation.clone());
        tokio::spawn(async move { transfer(&gateway, &organisation, wanted).await });
    }
    lent
}

/// Takes up to `tokens` from the pools of other regions that have tokens to spare.
async fn transfer<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: &OrganisationId,
    tokens: u64,
) {
    let mut missing = tokens;
    for region in &gateway.regions {
        if *region == gateway.settings.region || missing == 0 {
            continue;
        }
        let owner = {
            let instances = gateway.instances.lock();
            let owners = instances.pool_owners_in(region, organisation);
            owners.first().copied().cloned()
        };
        let Some(owner) = owner else {
            continue;
        };
        if !gateway.instances.lock().allow_call(now(), &owner.id.name) {
            continue;
        }
        let req = LoanRequest {
            transfer: true,
            ..loan_request(gateway, organisation, missing)
        };
        let response = gateway
            .links
            .call(&peer_address(&owner), req, TRANSFER_TIMEOUT)
            .await;
        let mut instances = gateway.instances.lock();
        match response {
            Ok(grant) if grant.level > 0 => {
                instances.mark_reachable(&owner.id.name);
                drop(instances);
                let taken = grant.level / NANOTOKENS_PER_TOKEN;
                missing = missing.saturating_sub(taken);
                let mut limits = gateway.limits.lock();
                limits.add_transferred(now(), organisation, taken);
                gateway.metrics.count_loan("transferred");
            }
            Ok(_) => instances.mark_reachable(&owner.id.name),
            Err(error) if error.concerns_peer() => {
                instances.mark_unreachable(now(), &owner.id.name);
            }
            Err(_) => {}
        }
    }
}

/// Returns the address at which an instance is called.
pub(crate) fn peer_address(owner: &ListedInstance) -> PeerAddress {
    PeerAddress {
        name: owner.id.name.clone(),
        address: owner.peer_address,
        incarnation: None,
    }
}

fn loan_request<C, H>(
    gateway: &Gateway<C, H>,
    organisation: &OrganisationId,
    tokens: u64,
) -> LoanRequest {
    LoanRequest {
        organisation: organisation.to_string(),
        domain: gateway.settings.domain.to_string(),
        level: tokens.saturating_mul(NANOTOKENS_PER_TOKEN),
        ..LoanRequest::default()
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

/// Asks the owner of a region's pool, or the second owner if the first cannot be reached, for at
/// most `max_wait`.
async fn ask_region<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    region: &RegionName,
    organisation: &OrganisationId,
    tokens: u64,
    max_wait: Duration,
) -> LoanOutcome {
    let deadline = now() + max_wait;
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
        let left = deadline.since(now());
        if left.is_zero() {
            break;
        }
        let loan = ask_owner(gateway, &owner, organisation, tokens, left).await;
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

async fn ask_owner<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    owner: &ListedInstance,
    organisation: &OrganisationId,
    tokens: u64,
    max_wait: Duration,
) -> LoanOutcome {
    let name = &owner.id.name;
    if *name == gateway.id.name {
        let lent = lend_from_pool(gateway, organisation, tokens);
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
    let address = peer_address(owner);
    let req = loan_request(gateway, organisation, tokens);
    let timeout = if same_region {
        SAME_REGION_TIMEOUT
    } else {
        OTHER_REGION_TIMEOUT
    };
    let response = gateway
        .links
        .call(&address, req, timeout.min(max_wait))
        .await;
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
            if error.concerns_peer() {
                gateway.instances.lock().mark_unreachable(now(), name);
            }
            LoanOutcome::Unreachable
        }
    }
}
