//! Loans from the token pools of the organisations' rate limits.
//!
//! Part of each organisation's rate is divided among the regions as token pools. In each region,
//! one instance, the keeper, holds the pool of an organisation; large regions have a deputy beside
//! it. An instance whose own share does not cover a request asks the keepers to lend its tokens.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{OrganisationId, RegionName};
use hawthornquay_instances::{LoanGrant, LoanRequest, PeerAddress};
use hawthornquay_traffic::ListedInstance;

use crate::{Gateway, gateway::now, wire_views::millis};

/// Time-out for a keeper of the same region: a round trip, a new link and one retransmission.
const SAME_REGION_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out for a keeper of another region: two round trips of 55 ms each way, and a margin.
const OTHER_REGION_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest latency target of requests for which other regions are asked. A round trip takes an
/// eighth of it.
const MIN_TARGET_FOR_OTHER_REGIONS: Duration = Duration::from_millis(880);

/// Nanotokens in a token; loan messages state amounts in nanotokens.
const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Outcome of a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loan {
    /// A pool lent the tokens.
    Granted,
    /// Every pool that was asked has too few tokens; the shortest time until one has enough.
    Refused(Duration),
    /// No keeper could be reached.
    Unreachable,
}

/// Asks the keepers for the tokens of a request, starting with the region of this instance.
///
/// Other regions are asked only if `target`, the latency target of the request, leaves time for
/// it.
pub(crate) async fn borrow<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: &OrganisationId,
    tokens: u64,
    target: Duration,
) -> Loan {
    let mut outcome = Loan::Unreachable;
    for region in regions_to_ask(gateway, target) {
        let loan = ask_region(gateway, region, organisation, tokens).await;
        outcome = match (outcome, loan) {
            (_, Loan::Granted) => return Loan::Granted,
            (Loan::Refused(known), Loan::Refused(after)) => Loan::Refused(known.min(after)),
            (known, Loan::Unreachable) => known,
            (_, refused) => refused,
        };
    }
    outcome
}

/// Handles a loan request of another instance.
pub(crate) fn lend<C, H>(gateway: &Gateway<C, H>, request: &LoanRequest) -> LoanGrant {
    let organisation = OrganisationId::new(&request.organisation);
    let is_keeper = {
        let instances = gateway.instances.lock();
        let keepers = instances.pool_owners_in(&gateway.settings.region, &organisation);
        keepers
            .iter()
            .any(|keeper| keeper.id.name == gateway.id.name)
    };
    // Instances may briefly have different instance lists and ask the wrong instance. Only the
    // pools of listed keepers lend, so that all loans together stay within the rate.
    if !is_keeper {
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

/// Returns the regions whose keepers may be asked, starting with the region of this instance.
fn regions_to_ask<C, H>(gateway: &Gateway<C, H>, target: Duration) -> Vec<&RegionName> {
    let own = &gateway.settings.region;
    let others = gateway
        .regions
        .iter()
        .filter(|region| *region != own && target >= MIN_TARGET_FOR_OTHER_REGIONS);
    std::iter::once(own).chain(others).collect()
}

/// Asks the keeper of a region, or its deputy if the keeper cannot be reached.
async fn ask_region<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    region: &RegionName,
    organisation: &OrganisationId,
    tokens: u64,
) -> Loan {
    let keepers: Vec<ListedInstance> = {
        let instances = gateway.instances.lock();
        let keepers = instances.pool_owners_in(region, organisation);
        keepers.into_iter().cloned().collect()
    };
    for keeper in keepers {
        let name = &keeper.id.name;
        if *name != gateway.id.name && !gateway.instances.lock().allow_call(now(), name) {
            continue;
        }
        let loan = ask_keeper(gateway, &keeper, organisation, tokens).await;
        gateway.metrics.count_loan(match loan {
            Loan::Granted => "granted",
            Loan::Refused(_) => "refused",
            Loan::Unreachable => "unreachable",
        });
        if loan != Loan::Unreachable {
            return loan;
        }
    }
    Loan::Unreachable
}

async fn ask_keeper<C, H>(
    gateway: &Arc<Gateway<C, H>>,
    keeper: &ListedInstance,
    organisation: &OrganisationId,
    tokens: u64,
) -> Loan {
    let name = &keeper.id.name;
    if *name == gateway.id.name {
        let lent = gateway.limits.lock().lend(now(), organisation, tokens);
        return lent.map_or_else(Loan::Refused, |()| Loan::Granted);
    }
    let refused = gateway
        .limits
        .lock()
        .loan_backoff(now(), organisation, name, tokens);
    if let Some(left) = refused {
        return Loan::Refused(left);
    }
    let same_region = keeper.region == gateway.settings.region;
    let address = PeerAddress {
        name: name.clone(),
        address: keeper.peer_address,
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
        Ok(grant) if grant.level > 0 => Loan::Granted,
        Ok(grant) if grant.retry_after_ms > 0 => {
            let after = Duration::from_millis(grant.retry_after_ms);
            let mut limits = gateway.limits.lock();
            limits.record_loan_refusal(now(), organisation, name, tokens, after);
            Loan::Refused(after)
        }
        Ok(_) => Loan::Unreachable,
        Err(error) => {
            slog::debug!(gateway.log.limits, "cannot reach the keeper of a token pool";
                "keeper" => name.as_str(), "error" => %error);
            gateway.instances.lock().mark_unreachable(now(), name);
            Loan::Unreachable
        }
    }
}
