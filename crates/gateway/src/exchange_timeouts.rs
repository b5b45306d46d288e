//! Time-outs of the attempts at a request.

use std::time::Duration;

use hawthornquay_traffic::ExecutionSemantics;

use crate::{ControlPlane, Exchange, HeaderMapping, gateway::now};

/// Time-out of an attempt at a repeatable request, as a multiple of the expected time to the
/// response. Also the time-out between events of a resumable stream, as a multiple of the target gap
/// between events of the route.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Shortest time without data after which a resumable stream continues on another backend server.
/// Callers time out after 2 s at the earliest.
const MIN_STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Returns the time-out for the next data of an attempt. A request that may not be retried gets
    /// all the time left.
    pub(crate) fn attempt_timeout(&self, left: Duration, expected: Duration) -> Duration {
        if !self.request.route.semantics.is_repeatable() || self.request.max_attempts < 2 {
            return left;
        }
        let timeout = self
            .request
            .route
            .target_latency
            .max(expected)
            .mul_f64(TIMEOUT_FACTOR);
        timeout.min(left)
    }

    /// Returns the time left for the next event with data of a stream. Other bytes, such as comment
    /// lines, do not extend it.
    pub(crate) fn stream_timeout(&self) -> Duration {
        let time = now();
        let left = self.request.time_left(time);
        let limit = match self.request.route.semantics {
            ExecutionSemantics::Stream {
                resumable: true,
                target_event_gap: gap,
            } if self.progress.last_event() != self.request.last_event => {
                MIN_STREAM_IDLE_TIMEOUT.max(gap.mul_f64(TIMEOUT_FACTOR))
            }
            _ => self.attempt_timeout(Duration::MAX, Duration::ZERO),
        };
        limit.saturating_sub(time.since(self.progress_at)).min(left)
    }
}
