//! Loans of tokens between instances.

use std::time::Duration;

use hawthornquay_decisions::{LimitShare, LoanCall, LoanGrant, LoanTerms};
use hawthornquay_instances::{LoanGrant as WireGrant, LoanRequest as WireRequest};
use slog::debug;

use crate::{Node, clock};

/// Requests a loan from a slot holder and adds the granted tokens to this instance's limits.
///
/// If the answer is lost, the lent tokens cannot be spent until the loan ends at the lender.
pub async fn request_loan(node: &Node, call: LoanCall) {
    let Some(peer) = node.peer_address(&call.lender) else {
        return;
    };
    let req = WireRequest {
        organisation: call.request.organisation.to_string(),
        domain: node.location.domain.to_string(),
        sequence: call.request.sequence,
        rate: call.request.share.rate,
        capacity: call.request.share.capacity,
        level: call.request.amount,
        duration_ms: u64::try_from(call.request.duration.as_millis()).unwrap_or(u64::MAX),
        transfer: false,
    };
    match node.links.call(&peer, req, LoanTerms::ANSWER_TIMEOUT).await {
        Ok(grant) => {
            let grant = LoanGrant {
                organisation: call.request.organisation,
                sequence: grant.sequence,
                share: LimitShare {
                    rate: grant.rate,
                    capacity: grant.capacity,
                },
                amount: grant.level,
            };
            node.limits
                .lock()
                .handle_loan_grant(&call.lender, &grant, clock::now());
        }
        Err(error) => {
            debug!(node.log.limits, "loan request failed"; "lender" => %call.lender.name, "error" => %error)
        }
    }
    node.loan_answered.notify_waiters();
}

/// Answers a loan request of another instance; an empty grant lends nothing.
pub fn lend(
    node: &Node,
    borrower: &hawthornquay_decisions::InstanceId,
    req: &WireRequest,
) -> WireGrant {
    let request = hawthornquay_decisions::LoanRequest {
        organisation: req.organisation.as_str().into(),
        sequence: req.sequence,
        share: LimitShare {
            rate: req.rate,
            capacity: req.capacity,
        },
        amount: req.level,
        duration: Duration::from_millis(req.duration_ms),
    };
    let domain = req.domain.as_str().into();
    let grant = node
        .limits
        .lock()
        .handle_loan_request(borrower, &domain, &request, clock::now());
    grant.map_or_else(WireGrant::default, |grant| WireGrant {
        sequence: grant.sequence,
        rate: grant.share.rate,
        capacity: grant.share.capacity,
        level: grant.amount,
        retry_after_ms: 0,
    })
}
