//! Attempts of one request.

use std::time::Duration;

use crate::{Execution, LoadKey, Refusal, RefusalCode, RetryBudget, RetryDecision};

/// Upper bound of the attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Failed attempts of one request, and whether any of them ran it.
#[derive(Clone, Debug)]
pub struct RetryState {
    is_repeatable: bool,
    answer_started: bool,
    execution: Execution,
    tried: Vec<LoadKey>,
}

impl RetryState {
    /// Returns the state before the first attempt.
    ///
    /// `is_repeatable` is whether a backend server may run the request more than once.
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            is_repeatable,
            answer_started: false,
            execution: Execution::NotRun,
            tried: Vec::new(),
        }
    }

    /// Returns the servers and domains at which an attempt failed, for the next routing decision.
    pub fn tried(&self) -> &[LoadKey] {
        &self.tried
    }

    /// Records that the first byte of an answer was sent to the caller, which rules out a retry.
    pub fn record_answer_started(&mut self) {
        self.answer_started = true;
    }

    /// Records a failed attempt at `key` and decides whether to retry.
    ///
    /// `execution` is whether that attempt ran the request. A retry is withdrawn from `budget`.
    pub fn record_failure(
        &mut self,
        key: LoadKey,
        execution: Execution,
        deadline_left: Option<Duration>,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.tried.push(key);
        // An attempt that did not run proves nothing about earlier attempts.
        if self.execution == Execution::NotRun || execution == Execution::Ran {
            self.execution = execution;
        }
        if deadline_left == Some(Duration::ZERO) {
            return self.give_up(RefusalCode::DeadlineExceeded, "the deadline has passed");
        }
        if !self.is_retry_allowed() || !budget.withdraw() {
            return self.give_up(RefusalCode::BackendFailed, self.failure_message());
        }
        RetryDecision::RouteAgain
    }

    /// Returns `refusal` with the execution known from earlier attempts, if one may have run.
    pub fn with_known_execution(&self, refusal: Refusal) -> Refusal {
        Refusal {
            execution: match self.execution {
                Execution::NotRun => refusal.execution,
                execution => execution,
            },
            ..refusal
        }
    }

    fn is_retry_allowed(&self) -> bool {
        let may_run_again = match self.execution {
            Execution::NotRun => true,
            Execution::Unknown => self.is_repeatable,
            Execution::Ran => false,
        };
        may_run_again && !self.answer_started && self.tried.len() < MAX_ATTEMPTS
    }

    fn failure_message(&self) -> &'static str {
        match self.execution {
            Execution::NotRun => "no backend server could be reached; retry later",
            _ => "the backend server failed; ask for the outcome with the request id",
        }
    }

    fn give_up(&self, code: RefusalCode, message: &str) -> RetryDecision {
        RetryDecision::GiveUp(self.with_known_execution(Refusal::not_run(code, message)))
    }
}
