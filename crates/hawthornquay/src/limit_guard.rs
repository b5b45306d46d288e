//! Reserved tokens of one request.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use hawthornquay_decisions::{
    LimitReservation, LoanCall, LoanStep, LoanTerms, MonotonicTime, OrganisationId, Refusal,
    RefusalCode, RequestId,
};

use crate::{Decision, Node, clock, peer_loans::ask_for_loan};

/// Longest time that a request waits for loans before it is refused.
const LOAN_WAIT: Duration = Duration::from_millis(1_200);

/// Tokens reserved for one request; dropping it settles to the use known so far.
pub struct LimitGuard {
    node: Arc<Node>,
    reservation: Option<LimitReservation>,
    used: u64,
}

impl LimitGuard {
    /// Reserves tokens, and borrows what the instance lacks.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has used up its rate and burst, or if the holders of
    /// the rest could not be reached in time.
    pub async fn reserve(
        node: &Arc<Node>,
        id: &RequestId,
        organisation: &OrganisationId,
        tokens: u64,
        deadline: Option<MonotonicTime>,
    ) -> Result<Self, Refusal> {
        let longest = clock::now() + LOAN_WAIT;
        let give_up = deadline.map_or(longest, |deadline| deadline.min(longest));
        loop {
            let answered = node.loans.notified();
            let step = {
                let mut limits = node.limits.lock();
                if let Some(reservation) = limits.reserve(organisation, tokens, clock::now()) {
                    node.requests.record(id, Decision::Reserved { tokens });
                    return Ok(Self::new(node, reservation));
                }
                limits.next_loan_step(organisation, tokens, clock::now())
            };
            if clock::now() > give_up {
                return Err(holders_silent());
            }
            match step {
                LoanStep::Ready => {}
                LoanStep::Send(calls) => ask_all(node, id, calls).await,
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

    /// Notes tokens that are used even if the caller leaves before the answer.
    pub fn note_use(&mut self, tokens: u64) {
        self.used = tokens;
    }

    /// Settles the reservation to the tokens used.
    pub fn settle(mut self, used: u64) {
        self.used = used;
    }

    /// Charges the reservation in full, because the request may have run.
    pub fn charge(self) {
        let tokens = self.tokens();
        self.settle(tokens);
    }

    /// Returns the tokens reserved.
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

async fn ask_all(node: &Arc<Node>, id: &RequestId, calls: Vec<LoanCall>) {
    for call in &calls {
        let lender = call.lender.name.clone();
        node.requests.record(id, Decision::LoanRequested { lender });
    }
    join_all(calls.into_iter().map(|call| ask_for_loan(node, call))).await;
}

fn limit_exceeded(retry_after: Duration) -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "the organisation has used up its rate and burst; retry later",
    )
    .with_retry_after(retry_after)
}

fn holders_silent() -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "the instances that hold the rest of the organisation's rate do not answer; retry later",
    )
    .with_retry_after(LoanTerms::DURATION)
}
