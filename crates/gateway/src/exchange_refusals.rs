//! Refusals of requests that were admitted.

use std::time::Duration;

use hawthornquay_decisions::{Execution, Refusal, RefusalCode};
use hawthornquay_traffic::return_after;

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping, exchange::LEAST_TIME,
    gateway::now,
};

/// Time after which a caller may return when no backend server takes requests.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(700);

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    pub(crate) fn refuse_late(&mut self) -> Refusal {
        if self.execution == Execution::NotRun {
            return self.refuse_unavailable();
        }
        Refusal::unknown(
            RefusalCode::DeadlineExceeded,
            "the answer did not arrive in time",
        )
    }

    pub(crate) fn refuse_unavailable(&mut self) -> Refusal {
        if self.execution != Execution::NotRun {
            return Refusal::unknown(
                RefusalCode::BackendFailed,
                "no other backend server can continue the request",
            );
        }
        let after = self.retry_after.unwrap_or(UNAVAILABLE_RETRY);
        Refusal::not_run(
            RefusalCode::NoCapacity,
            "no backend server can take the request now",
        )
        .with_retry_after(after)
    }

    pub(crate) fn refuse_overloaded(&mut self, expected: Duration) -> Refusal {
        if self.execution != Execution::NotRun {
            return self.refuse_unavailable();
        }
        let after = return_after(
            expected.saturating_sub(self.call.route.target),
            self.call.time_left(now()),
            self.call.id.as_str(),
        );
        Refusal::not_run(
            RefusalCode::NoCapacity,
            "the request could not be answered before its deadline",
        )
        .with_retry_after(after)
    }

    pub(crate) fn final_refusal(&mut self, failure: &AttemptFailure) -> Refusal {
        if self.execution == Execution::NotRun {
            return self.refuse_unavailable();
        }
        if self.call.time_left(now()) < LEAST_TIME {
            return self.refuse_late();
        }
        let code = match &failure.cause {
            AttemptCause::Silent => RefusalCode::DeadlineExceeded,
            AttemptCause::Peer { .. } => RefusalCode::PeerUnreachable,
            _ => RefusalCode::BackendFailed,
        };
        Refusal::unknown(code, "the backend server failed while it had the request")
    }
}
