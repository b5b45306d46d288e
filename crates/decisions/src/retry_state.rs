//! Attempts of one request.

use std::time::Duration;

use crate::{Execution, LoadKey, Refusal, RefusalCode, RetryBudget, RetryDecision};

/// Most attempts of one request, the first included.
const ATTEMPTS: usize = 3;

/// Attempts of one request and what is known about its execution.
#[derive(Clone, Debug)]
pub struct RetryState {
    is_repeatable: bool,
    answer_started: bool,
    execution: Execution,
    tried: Vec<LoadKey>,
}

impl RetryState {
    /// Starts a request; `is_repeatable` allows a second run.
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            is_repeatable,
            answer_started: false,
            execution: Execution::NotRun,
            tried: Vec::new(),
        }
    }

    /// Returns the servers and domains that failed, for the next routing decision.
    pub fn tried(&self) -> &[LoadKey] {
        &self.tried
    }

    /// Records that the caller got the first byte of an answer.
    pub fn record_answer_started(&mut self) {
        self.answer_started = true;
    }

    /// Decides what follows a failed attempt at `key` with the given execution.
    pub fn record_failure(
        &mut self,
        key: LoadKey,
        execution: Execution,
        deadline_left: Option<Duration>,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.tried.push(key);
        // A later attempt that did not run does not prove that the earlier one did not either.
        if self.execution == Execution::NotRun || execution == Execution::Ran {
            self.execution = execution;
        }
        if deadline_left == Some(Duration::ZERO) {
            return self.give_up(RefusalCode::DeadlineExceeded, "the deadline has passed");
        }
        if !self.may_retry() || !budget.withdraw() {
            return self.give_up(RefusalCode::BackendFailed, self.advice());
        }
        RetryDecision::RouteAgain
    }

    /// Rewrites a refusal of a later routing decision by what is known from earlier attempts.
    pub fn with_known_execution(&self, refusal: Refusal) -> Refusal {
        Refusal {
            execution: match self.execution {
                Execution::NotRun => refusal.execution,
                execution => execution,
            },
            ..refusal
        }
    }

    fn may_retry(&self) -> bool {
        let may_run_again = match self.execution {
            Execution::NotRun => true,
            Execution::Unknown => self.is_repeatable,
            Execution::Ran => false,
        };
        may_run_again && !self.answer_started && self.tried.len() < ATTEMPTS
    }

    fn advice(&self) -> &'static str {
        match self.execution {
            Execution::NotRun => "no backend server could be reached; retry later",
            _ => "the backend server failed; ask for the outcome with the request id",
        }
    }

    fn give_up(&self, code: RefusalCode, message: &str) -> RetryDecision {
        RetryDecision::GiveUp(self.with_known_execution(Refusal::not_run(code, message)))
    }
}
