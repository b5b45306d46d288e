//! Requests that do not end before the process does.

use std::time::Duration;

use hawthornquay_decisions::{Execution, Refusal, RefusalCode};
use hawthornquay_traffic::PlacementDecision;

use crate::{ControlPlane, Exchange, HeaderMapping, gateway::now};

/// `Retry-After` of a stopping instance. Other instances take requests at once.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time that a late request needs, as a multiple of its expected time. The expected time is a mean,
/// and a request that is passed on and does not end in time may not be repeated elsewhere.
const LATE_TIME_FACTOR: f64 = 3.0;

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Returns whether a request that has not run would not end before the process does.
    ///
    /// While callers resolve other addresses, only the expected time counts. Later requests need a
    /// margin, and streams, whose length is not known, all their time.
    pub(crate) fn is_too_late(&self, placement: &PlacementDecision) -> bool {
        let time = now();
        let Some((left, is_late)) = self.gateway.stop.time_left(time) else {
            return false;
        };
        if self.execution != Execution::NotRun || self.request.time_left(time) <= left {
            return false;
        }
        let expected = match placement {
            PlacementDecision::Server(pick) => pick.expected_latency,
            PlacementDecision::Region {
                expected_latency, ..
            } => *expected_latency,
            PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => return false,
        };
        if !is_late {
            return expected > left;
        }
        let route = &self.request.route;
        let needed = expected.max(route.target_latency);
        route.semantics.is_stream() || needed.mul_f64(LATE_TIME_FACTOR) > left
    }

    /// Cancels the current attempt because the process ends, and returns the refusal.
    pub(crate) fn end_with_process(&mut self) -> Refusal {
        if std::mem::take(&mut self.awaiting_head) || self.attempt.take().is_some() {
            self.execution = Execution::Unknown;
        }
        self.attempt_trace.push_str("stopping ");
        if self.execution == Execution::NotRun {
            return stopping_refusal();
        }
        Refusal::unknown(
            RefusalCode::DeadlineExceeded,
            "the instance stopped before the answer arrived",
        )
    }
}

/// Returns the refusal of a request that has not run.
pub(crate) fn stopping_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::ShuttingDown, "the instance is stopping")
        .with_retry_after(STOPPING_RETRY_AFTER)
}
