//! Reservation of tokens for one request.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    LimitReservation, LoanCall, LoanStep, LoanTerms, MonotonicTime, OrganisationId, Refusal,
    RefusalCode, RequestId,
};

use crate::{Decision, Node, clock, peer_loans::request_loan};

/// Longest time for which a request waits for loans before it is refused.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(1_200);

/// Tokens reserved for one request.
///
/// Dropping the guard charges the tokens known to be used and returns the others.
pub struct LimitGuard {
    node: Arc<Node>,
    reservation: Option<LimitReservation>,
    used: u64,
}

impl LimitGuard {
    /// Reserves tokens, and requests loans from other instances if this one has too few.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has used up its rate and burst, or if the instances
    /// that hold the remaining tokens do not answer in time.
    pub async fn reserve(
        node: &Arc<Node>,
        id: &RequestId,
        organisation: &OrganisationId,
        tokens: u64,
        deadline: Option<MonotonicTime>,
    ) -> Result<Self, Refusal> {
        let longest_wait_ends = clock::now() + MAX_LOAN_WAIT;
        let wait_ends = deadline.map_or(longest_wait_ends, |deadline| {
            deadline.min(longest_wait_ends)
        });
        loop {
            let answered = node.loan_answered.notified();
            let step = {
                let mut limits = node.limits.lock();
                if let Some(reservation) = limits.reserve(organisation, tokens, clock::now()) {
                    node.requests.record(id, Decision::Reserved { tokens });
                    return Ok(Self::new(node, reservation));
                }
                limits.next_loan_step(organisation, tokens, clock::now())
            };
            if clock::now() > wait_ends {
                return Err(lenders_unreachable());
            }
            match step {
                LoanStep::Ready => {}
                LoanStep::Send(calls) => request_loans(node, id, calls).await,
                LoanStep::Wait => {
                    let _ = tokio::time::timeout(LoanTerms::ANSWER_TIMEOUT, answered).await;
                }
                LoanStep::Refuse { retry_after } => return Err(limit_exceeded(retry_after)),
            }
        }
    }

    fn new(node: &Arc<Node>, reservation: LimitReservation) -> Self {
        Self {
            node: Arc::clone(node),
            reservation: Some(reservation),
            used: 0,
        }
    }

    /// Sets the tokens that are charged if the guard is dropped, for example on a disconnect of the
    /// caller.
    pub fn set_used_tokens(&mut self, tokens: u64) {
        self.used = tokens;
    }

    /// Charges the tokens used and returns the other reserved tokens.
    pub fn settle(mut self, used: u64) {
        self.used = used;
    }

    /// Charges all reserved tokens, because the request may have run.
    pub fn charge(self) {
        let tokens = self.tokens();
        self.settle(tokens);
    }

    /// Returns the number of reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.reservation
            .as_ref()
            .map_or(0, LimitReservation::tokens)
    }
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.node
                .limits
                .lock()
                .settle(reservation, self.used, clock::now());
        }
    }
}

async fn request_loans(node: &Arc<Node>, id: &RequestId, calls: Vec<LoanCall>) {
    for call in &calls {
        let lender = call.lender.name.clone();
        node.requests.record(id, Decision::LoanRequested { lender });
    }
    join_all(calls.into_iter().map(|call| request_loan(node, call))).await;
}

fn limit_exceeded(retry_after: Duration) -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "the organisation has used up its rate and burst; retry later",
    )
    .with_retry_after(retry_after)
}

fn lenders_unreachable() -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "the instances that hold the rest of the organisation's tokens do not answer; retry later",
    )
    .with_retry_after(LoanTerms::DURATION)
}
