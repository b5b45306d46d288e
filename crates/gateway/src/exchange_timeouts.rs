//! Time-outs of the attempts at a request.

use std::time::Duration;

use hawthornquay_decisions::PartVerdict;
use hawthornquay_traffic::{ExecutionSemantics, PlacementDecision};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping,
    attempt::AttemptDestination,
    exchange::{MAX_ATTEMPTS_IN_TOTAL, MIN_ATTEMPT_TIME},
    gateway::now,
    silence_limit::SILENCE_CHECK_INTERVAL,
};

/// Time-out of an attempt at a repeatable request, as a multiple of the expected time to the
/// response. Also the time-out between events of a resumable stream, as a multiple of the target gap
/// between events of the route.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Shortest time without events after which the server of a resumable stream counts as silent and is
/// asked whether it runs the request. Callers time out after 2 s at the earliest.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// Maximum number of bytes that are read of a response after its time-out has expired: about what
/// the sockets and buffers hold, so that data that is ready is delivered late. A time-out alone does
/// not end a response whose server sends without a pause, because the next bytes are always ready.
const MAX_LATE_BYTES: usize = 128 << 10;

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Records `len` bytes of a response that were to arrive within `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if too many bytes have arrived since the time-out of the response expired.
    pub(crate) const fn record_bytes(
        &mut self,
        max_wait: Duration,
        len: usize,
    ) -> Result<(), AttemptFailure> {
        self.late_bytes = if max_wait.is_zero() {
            self.late_bytes + len
        } else {
            0
        };
        if self.late_bytes > MAX_LATE_BYTES {
            return Err(AttemptFailure::unknown(AttemptCause::Silent));
        }
        Ok(())
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
            } if self.progress.last_event() != self.request.last_event => {
                MIN_STREAM_SILENCE.max(gap.mul_f64(TIMEOUT_FACTOR))
            }
            _ => self.attempt_timeout(Duration::MAX, Duration::ZERO),
        };
        limit
            .saturating_sub(time.since(self.progress_at))
            .max(self.kept_until.since(time))
            .min(left)
    }

    /// Returns the time left for the next part of a response body that is not a stream.
    pub(crate) fn body_timeout(&self) -> Duration {
        let time = now();
        let left = self.request.time_left(time);
        let kept = self.kept_until.since(time);
        if kept.is_zero() {
            self.attempt_timeout(left, Duration::ZERO)
        } else {
            kept.min(left)
        }
    }

    /// Keeps the current attempt after `failure` if it is only silent and cannot be replaced.
    ///
    /// # Errors
    ///
    /// Returns the failure with which the attempt ends otherwise.
    pub(crate) fn check_silence(&mut self, failure: AttemptFailure) -> Result<(), AttemptFailure> {
        let time = now();
        let (AttemptCause::Silent, Some(attempt)) = (&failure.cause, &self.attempt) else {
            return Err(failure);
        };
        if self.request.time_left(time) < MIN_ATTEMPT_TIME {
            return Err(AttemptFailure::unknown(AttemptCause::TimedOut));
        }
        if self.can_replace(attempt.destination(), self.delivered_attempts) {
            return Err(failure);
        }
        self.kept_until = time + SILENCE_CHECK_INTERVAL;
        Ok(())
    }

    /// Returns whether another attempt can be made in place of the one at `current`, which is
    /// silent; `delivered` attempts have reached a server, this one included.
    ///
    /// If so, the placement is kept for the next attempt.
    pub(crate) fn can_replace(&self, current: AttemptDestination<'_>, delivered: u32) -> bool {
        let request = &self.request;
        let time = now();
        // An earlier placement may lead to a server that gets no requests any more.
        *self.replacement.lock() = None;
        if !request.route.semantics.is_repeatable()
            || !self.progress.can_resume()
            || self.attempts >= MAX_ATTEMPTS_IN_TOTAL
            || delivered >= request.max_attempts
            || !self.gateway.has_retry(&request.service)
            || self
                .gateway
                .part_verdict(time, &request.work.shared_part_ids())
                != PartVerdict::Accepted
        {
            return false;
        }
        let (server, instance) = match current {
            AttemptDestination::Server(id) => (Some(id), None),
            AttemptDestination::Instance(name) => (None, Some(name)),
        };
        let placement = self.choose_placement(server);
        let can_replace = match &placement {
            // A permit may be denied, and the silent attempt would be gone.
            PlacementDecision::Server(pick) => !pick.is_limited,
            PlacementDecision::Region { name, .. } => {
                let mut excluded = self.excluded_instances.clone();
                excluded.extend(instance.cloned());
                let own = &self.gateway.id.name;
                let instances = self.gateway.instances.lock();
                instances
                    .forward_target_in(time, name, own, &excluded)
                    .is_some()
            }
            PlacementDecision::Unavailable | PlacementDecision::Overloaded { .. } => false,
        };
        if can_replace {
            *self.replacement.lock() = Some(placement);
        }
        can_replace
    }
}
