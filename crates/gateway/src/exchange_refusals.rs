//! Refusals of requests that were admitted.

use std::{fmt::Write, time::Duration};

use hawthornquay_decisions::{Execution, Refusal, RefusalCode};
use hawthornquay_traffic::{overload_retry_after, pause_retry_after};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping,
    exchange::MIN_ATTEMPT_TIME, gateway::now,
};

/// `Retry-After` when no backend server accepts requests and no other time is known.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(700);

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Returns the refusal when the deadline is reached.
    pub(crate) fn deadline_refusal(&mut self) -> Refusal {
        if self.execution == Execution::NotRun {
            return self.unavailable_refusal();
        }
        Refusal::unknown(
            RefusalCode::DeadlineExceeded,
            "the answer did not arrive in time",
        )
    }

    /// Returns the refusal when no backend server is left for another attempt.
    pub(crate) fn unavailable_refusal(&mut self) -> Refusal {
        if self.execution != Execution::NotRun {
            return Refusal::unknown(
                RefusalCode::BackendFailed,
                "no other backend server can continue the request",
            );
        }
        let pause = self.pause_retry_after();
        if let Some(pause) = pause {
            let _ = write!(self.attempt_trace, "paused~{}ms ", pause.as_millis());
        }
        let after = pause.into_iter().chain(self.retry_after).min();
        // The sender of a forwarded request may try another instance.
        let code = match pause.is_some() && self.request.forwarded {
            true => RefusalCode::ServersPaused,
            false => RefusalCode::NoCapacity,
        };
        Refusal::not_run(code, "no backend server can take the request now")
            .with_retry_after(after.unwrap_or(UNAVAILABLE_RETRY_AFTER))
    }

    /// Returns the delay before a retry if all servers of the service in this region take no requests
    /// from this instance for a time.
    fn pause_retry_after(&self) -> Option<Duration> {
        let gateway = &self.gateway;
        let servers = gateway.servers.lock();
        let service = &self.request.service;
        let pause = servers.pause_remaining(now(), service, |domain| gateway.is_local(domain))?;
        Some(pause_retry_after(pause, self.request.id.as_str()))
    }

    /// Returns the refusal when the `expected` time to a response is too long.
    pub(crate) fn overload_refusal(&mut self, expected: Duration) -> Refusal {
        if self.execution != Execution::NotRun {
            return self.unavailable_refusal();
        }
        let time = now();
        let after = overload_retry_after(
            expected.saturating_sub(self.request.route.target_latency),
            self.request.time_left(time),
            self.request.id.as_str(),
        );
        let after = self.gateway.promise_return(time, &self.request, after);
        Refusal::not_run(
            RefusalCode::NoCapacity,
            "the request could not be answered before its deadline",
        )
        .with_retry_after(after)
    }

    /// Returns the refusal after a failure that may not be retried.
    pub(crate) fn final_refusal(&mut self, failure: &AttemptFailure) -> Refusal {
        if self.execution == Execution::NotRun {
            if let AttemptCause::Unsendable(reason) = &failure.cause {
                return Refusal::not_run(RefusalCode::NoCapacity, reason)
                    .with_retry_after(UNAVAILABLE_RETRY_AFTER);
            }
            return self.unavailable_refusal();
        }
        if self.request.time_left(now()) < MIN_ATTEMPT_TIME {
            return self.deadline_refusal();
        }
        let code = match &failure.cause {
            AttemptCause::Silent => RefusalCode::DeadlineExceeded,
            AttemptCause::Peer { .. } => RefusalCode::PeerUnreachable,
            _ => RefusalCode::BackendFailed,
        };
        Refusal::unknown(code, "the backend server failed after it got the request")
    }
}
