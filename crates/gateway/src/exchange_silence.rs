//! Streams of silent backend servers: evidence about the run, and the change to another server.

use std::{pin::pin, time::Duration};

use hawthornquay_decisions::Execution;
use hawthornquay_traffic::{ExecutionSemantics, ServerPick};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, EventReader, Exchange, HeaderMapping,
    attempt::Attempt,
    exchange::MIN_ATTEMPT_TIME,
    gateway::now,
    response_memory::ResponseMemory,
    server_probes::RunEvidence,
    silence_limit::{EVIDENCE_INTERVAL, SILENCE_CHECK_INTERVAL},
};

/// Shortest time without events after which callers leave a stream.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Time without events after which callers leave a stream, as a multiple of its target latency.
const PATIENCE_PER_TARGET_LATENCY: u32 = 4;

/// Time without events after which callers leave a stream, as a multiple of its target gap.
const PATIENCE_PER_TARGET_GAP: u32 = 8;

/// Share of the caller's idle time-out after which a stream goes on elsewhere although its run may
/// not have ended. The rest is for the other server to read the prompt.
const PATIENCE_BEFORE_MOVE: f64 = 0.7;

/// What has arrived from an attempt.
enum Arrival {
    /// Events other than comments are buffered.
    Events,
    /// The response has ended.
    End,
    Failure(AttemptFailure),
}

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Decides on the attempt at a stream that has failed with `failure`, which is `Silent` if
    /// nothing has arrived in time: keeps it, or continues the stream at another server.
    ///
    /// Silence alone does not end an attempt. If its run is not known to go on, another attempt is
    /// made, and the silent one is kept until the other is accepted.
    ///
    /// # Errors
    ///
    /// Returns the failure with which the attempt ends.
    pub(crate) async fn handle_silence(
        &mut self,
        failure: AttemptFailure,
    ) -> Result<(), AttemptFailure> {
        let time = now();
        let (AttemptCause::Silent, Some(attempt)) = (&failure.cause, &self.attempt) else {
            return Err(failure);
        };
        let left = self.request.time_left(time);
        if left < MIN_ATTEMPT_TIME {
            return Err(AttemptFailure::unknown(AttemptCause::TimedOut));
        }
        let current = attempt.destination();
        if !self.can_replace(current, self.delivered_attempts) {
            self.kept_until = time + SILENCE_CHECK_INTERVAL;
            return Ok(());
        }
        // The placement is chosen again when it is known whether the stream moves.
        self.replacement.get_mut().take();
        let Some(attempt) = &mut self.attempt else {
            return Err(failure);
        };
        let evidence = match attempt {
            Attempt::Server(server) if self.request.route.semantics.is_repeatable() => {
                let (gateway, pick) = (self.gateway.clone(), server.pick().clone());
                tokio::select! {
                    biased;
                    arrival = next_events(attempt, &mut self.events, &mut self.memory, left) => {
                        return arrival_result(arrival);
                    }
                    evidence = gateway.run_evidence(&pick, &self.request.id) => evidence,
                }
            }
            // The instance of the other region detects when its server ends the response.
            _ => RunEvidence::Unknown,
        };
        let silence = now().since(self.progress_at);
        let max_silence = self.caller_patience().mul_f64(PATIENCE_BEFORE_MOVE);
        let moves = match evidence {
            RunEvidence::Running => false,
            RunEvidence::Unknown => silence >= max_silence,
            RunEvidence::Ended | RunEvidence::Dark => true,
        };
        if moves {
            return self.replace_silent(evidence, left).await;
        }
        let wait = match evidence {
            RunEvidence::Running => EVIDENCE_INTERVAL,
            _ => EVIDENCE_INTERVAL.min(max_silence.saturating_sub(silence)),
        };
        self.kept_until = now() + wait;
        Ok(())
    }

    /// Returns whether a stream that may be resumed is known to run at a silent server.
    pub(crate) async fn is_running(&self, pick: &ServerPick) -> bool {
        let semantics = &self.request.route.semantics;
        semantics.is_stream()
            && semantics.is_repeatable()
            && self.gateway.run_evidence(pick, &self.request.id).await == RunEvidence::Running
    }

    /// Returns the time without events after which the caller leaves the stream.
    fn caller_patience(&self) -> Duration {
        let route = &self.request.route;
        let gap = match route.semantics {
            ExecutionSemantics::Stream {
                target_event_gap, ..
            } => target_event_gap,
            _ => Duration::ZERO,
        };
        MIN_CALLER_PATIENCE
            .max(route.target_latency * PATIENCE_PER_TARGET_LATENCY)
            .max(gap * PATIENCE_PER_TARGET_GAP)
    }

    /// Continues the stream at another server if one accepts it before the silent attempt goes on.
    async fn replace_silent(
        &mut self,
        evidence: RunEvidence,
        left: Duration,
    ) -> Result<(), AttemptFailure> {
        self.kept_until = now() + SILENCE_CHECK_INTERVAL;
        let Some(mut old) = self.attempt.take() else {
            return Ok(());
        };
        if !self.can_replace(old.destination(), self.delivered_attempts)
            || !self.gateway.try_withdraw_retry(&self.request.service)
        {
            self.attempt = Some(old);
            return Ok(());
        }
        match &old {
            Attempt::Server(old) => self.excluded_servers.push(old.pick().id.clone()),
            Attempt::Peer(old) => self.excluded_instances.push(old.peer.clone()),
        }
        self.attempt_trace.push_str(evidence.as_str());
        self.attempt_trace.push(' ');
        let mut events = std::mem::take(&mut self.events);
        let mut memory = self.memory.take();
        let (progress, progress_at) = (self.progress.clone(), self.progress_at);
        let (arrival, opened) = {
            let mut opening = pin!(self.open_attempt());
            tokio::select! {
                biased;
                arrival = next_events(&mut old, &mut events, &mut memory, left) => match arrival {
                    // The other attempt is all that is left.
                    Arrival::Failure(failure) => {
                        (Some(Arrival::Failure(failure)), Some(opening.await))
                    }
                    arrival => (Some(arrival), None),
                },
                opened = &mut opening => (None, Some(opened)),
            }
        };
        self.execution = Execution::Unknown;
        match opened {
            Some(Ok((status, headers))) if self.progress.continues_head(status, &headers) => {
                let failure = AttemptFailure::unknown(AttemptCause::Silent);
                self.gateway.metrics.count_attempt(failure.outcome());
                old.record_failure(&failure, &self.request);
                self.moved_head = Some((status, headers));
                self.kept_until = now();
                return Ok(());
            }
            Some(Ok(_)) => {
                // The caller's response goes on with the silent attempt in any case.
                let _ = self.handle_failure(&AttemptFailure::unknown(AttemptCause::Garbled));
            }
            Some(Err(_)) => {}
            None => {
                self.abandon_opening();
                self.attempt_trace.push_str("resumed ");
            }
        }
        self.attempt = Some(old);
        self.events = events;
        self.memory = memory;
        (self.progress, self.progress_at) = (progress, progress_at);
        self.kept_until = now() + SILENCE_CHECK_INTERVAL;
        arrival.map_or(Ok(()), arrival_result)
    }
}

fn arrival_result(arrival: Arrival) -> Result<(), AttemptFailure> {
    match arrival {
        Arrival::Events | Arrival::End => Ok(()),
        Arrival::Failure(failure) => Err(failure),
    }
}

/// Waits until an event other than a comment, the end or a failure of an attempt arrives. Comments
/// are dropped.
async fn next_events<C: ControlPlane, H: HeaderMapping>(
    attempt: &mut Attempt<C, H>,
    events: &mut EventReader,
    memory: &mut Option<ResponseMemory>,
    left: Duration,
) -> Arrival {
    loop {
        match attempt.next_chunk(left).await {
            None => return Arrival::End,
            Some(Err(failure)) => {
                return Arrival::Failure(match failure.cause {
                    AttemptCause::Silent => AttemptFailure::unknown(AttemptCause::TimedOut),
                    _ => failure,
                });
            }
            Some(Ok(part)) => {
                let is_held = events.push(&part)
                    && memory
                        .as_mut()
                        .is_some_and(|memory| memory.try_hold(events.len()));
                if !is_held {
                    return Arrival::Failure(AttemptFailure::unknown(AttemptCause::Garbled));
                }
            }
        }
        while let Some(event) = events.next_event() {
            if !event.is_comment() {
                events.put_back(&event);
                return Arrival::Events;
            }
        }
    }
}
