//! Time-outs of the attempts at a request.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_traffic::{ExecutionSemantics, PlacementDecision};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping, attempt::Attempt,
    exchange::MIN_ATTEMPT_TIME, gateway::now,
};

/// Time-out of an attempt at a repeatable request, as a multiple of the expected time to the
/// response. Also the time-out between events of a resumable stream, as a multiple of the target gap
/// between events of the route.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Shortest time without data after which a resumable stream continues on another backend server.
/// Callers time out after 2 s at the earliest.
const MIN_STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Interval at which a silent stream that no other backend server can continue checks again for one.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Returns the next chunk of a stream, or `None` at its end.
    ///
    /// A sound server may be silent for a while. So an attempt without data for `max_wait` fails
    /// only if another attempt can continue the stream, or at the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt fails.
    pub(crate) async fn next_stream_chunk(
        &mut self,
        mut max_wait: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        loop {
            let Some(attempt) = &mut self.attempt else {
                return Some(Err(AttemptFailure::unknown(AttemptCause::Broken)));
            };
            let chunk = attempt.next_chunk(max_wait).await;
            let Some(Err(AttemptFailure {
                cause: AttemptCause::Silent,
                ..
            })) = &chunk
            else {
                return chunk;
            };
            attempt.record_silence(&self.request);
            let left = self.request.time_left(now());
            if left < MIN_ATTEMPT_TIME || self.can_replace_attempt() {
                return chunk;
            }
            max_wait = SILENCE_CHECK_INTERVAL.min(left);
        }
    }

    /// Returns whether another attempt can be made now in place of the current one.
    fn can_replace_attempt(&mut self) -> bool {
        if !self.may_start_attempt()
            || !self.may_run_again()
            || !self.gateway.has_retry(&self.request.service)
        {
            return false;
        }
        let (servers, instances) = (self.excluded_servers.len(), self.excluded_instances.len());
        match &self.attempt {
            Some(Attempt::Server(attempt)) => self.excluded_servers.push(attempt.pick().id.clone()),
            Some(Attempt::Peer(attempt)) => self.excluded_instances.push(attempt.peer.clone()),
            None => {}
        }
        let can_replace = match self.choose_placement() {
            PlacementDecision::Server(_) => true,
            PlacementDecision::Region { name, .. } => self
                .gateway
                .instances
                .lock()
                .forward_target_in(
                    now(),
                    &name,
                    &self.gateway.id.name,
                    &self.excluded_instances,
                )
                .is_some(),
            PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => false,
        };
        self.excluded_servers.truncate(servers);
        self.excluded_instances.truncate(instances);
        can_replace
    }

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
            } if self.last_delivered_event != self.request.last_event => {
                MIN_STREAM_IDLE_TIMEOUT.max(gap.mul_f64(TIMEOUT_FACTOR))
            }
            _ => self.attempt_timeout(Duration::MAX, Duration::ZERO),
        };
        limit.saturating_sub(time.since(self.progress_at)).min(left)
    }
}
