//! Run of one request: attempts, retries and the answer.

use std::{fmt::Write, io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use hawthornquay_decisions::{
    BackendName, Execution, InstanceName, MonotonicTime, Refusal, RegionName,
};
use hawthornquay_traffic::{Choice, ExecutionRule, ServerPick};
use http::{HeaderMap, StatusCode};

use crate::{
    AdmittedRequest, AttemptCause, AttemptFailure, BufferedResponse, ControlPlane, EventReader,
    Gateway, HeaderMapping, attempt::Attempt, gateway::now, peer_attempt::PeerAttempt,
    server_attempt::ServerAttempt, wire_views::millis,
};

/// Attempts for one request, those included that no backend server saw.
const MOST_TRIES: u32 = 5;

/// Multiple of the expected time to an answer after which a repeatable request is tried at
/// another backend server.
const PATIENCE: f64 = 3.0;

/// Silence within a resumable stream after which another backend server continues it; callers
/// give up after two seconds at the earliest.
const STREAM_SILENCE: Duration = Duration::from_millis(1_300);

/// Least time for which an attempt is worth starting.
pub(crate) const LEAST_TIME: Duration = Duration::from_millis(5);

/// Largest answer that is not a stream, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// Start of the answer to a request.
pub(crate) enum ResponseStart {
    /// Whole answer.
    Whole(BufferedResponse),
    /// Stream whose first events are at hand; [`Exchange::next`] returns the others.
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
    },
}

/// Run of one request.
///
/// Dropping it ends the request at the backend server.
pub(crate) struct Exchange<C: ControlPlane, H: HeaderMapping> {
    pub(crate) gateway: Arc<Gateway<C, H>>,
    pub(crate) call: AdmittedRequest,
    attempt: Option<Attempt<C, H>>,
    /// Whether an attempt waits for the head of its answer.
    opening: bool,
    tries: u32,
    pub(crate) arrivals: u32,
    pub(crate) execution: Execution,
    pub(crate) avoid: Vec<BackendName>,
    pub(crate) avoid_peers: Vec<InstanceName>,
    pub(crate) avoid_regions: Vec<RegionName>,
    events: EventReader,
    delivered: Option<u64>,
    error_answer: Option<BufferedResponse>,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) trail: String,
    /// Time to the first events of a stream.
    first_part: Option<Duration>,
    events_at: Option<MonotonicTime>,
    /// Longest time between two parts of a stream.
    longest_pause: Duration,
    finished: bool,
}

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    pub(crate) fn new(gateway: Arc<Gateway<C, H>>, call: AdmittedRequest) -> Self {
        let delivered = call.last_event;
        Self {
            gateway,
            call,
            attempt: None,
            opening: false,
            tries: 0,
            arrivals: 0,
            execution: Execution::NotRun,
            avoid: Vec::new(),
            avoid_peers: Vec::new(),
            avoid_regions: Vec::new(),
            events: EventReader::default(),
            delivered,
            error_answer: None,
            retry_after: None,
            trail: String::new(),
            first_part: None,
            events_at: None,
            longest_pause: Duration::ZERO,
            finished: false,
        }
    }

    /// Returns the request.
    pub(crate) const fn call(&self) -> &AdmittedRequest {
        &self.call
    }

    /// Runs the request until its answer begins; a whole answer ends the exchange.
    pub(crate) async fn start(&mut self) -> Result<ResponseStart, Refusal> {
        loop {
            let (status, headers) = self.open_attempt().await?;
            if self.call.route.rule.is_stream() {
                match self.read_events().await {
                    Ok(first) => {
                        self.first_part = Some(now().since(self.call.arrived));
                        self.events_at = Some(now());
                        return Ok(ResponseStart::Stream {
                            status,
                            headers,
                            first: first.unwrap_or_default(),
                        });
                    }
                    Err(failure) => self.settle_failure(&failure)?,
                }
            } else {
                match self.read_whole().await {
                    Ok(body) => {
                        self.finish("answered");
                        return Ok(ResponseStart::Whole(BufferedResponse {
                            status,
                            headers,
                            body,
                        }));
                    }
                    Err(failure) => self.settle_failure(&failure)?,
                }
            }
        }
    }

    /// Returns the next events of a stream; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream broke off and could not be continued.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.finished {
            return None;
        }
        loop {
            let failure = match self.read_events().await {
                Ok(Some(data)) => {
                    self.note_events();
                    return Some(Ok(data));
                }
                Ok(None) => {
                    self.finish("answered");
                    return None;
                }
                Err(failure) => failure,
            };
            let mut retried = self.settle_failure(&failure);
            while retried.is_ok() {
                match self.open_attempt().await {
                    // The answer keeps the head of the first backend server.
                    Ok(_) => break,
                    Err(refusal) => retried = Err(refusal),
                }
            }
            if let Err(refusal) = retried {
                self.finish("broken-off");
                return Some(Err(io::Error::other(refusal)));
            }
        }
    }

    fn note_events(&mut self) {
        let time = now();
        if let Some(before) = self.events_at.replace(time) {
            self.longest_pause = self.longest_pause.max(time.since(before));
        }
    }

    /// Opens attempts until one answers.
    async fn open_attempt(&mut self) -> Result<(StatusCode, HeaderMap), Refusal> {
        loop {
            let time = now();
            let left = self.call.time_left(time);
            if left < LEAST_TIME {
                return Err(self.refuse_late());
            }
            if self.tries >= MOST_TRIES {
                return Err(self.refuse_unavailable());
            }
            self.opening = true;
            let opened = match self.choose() {
                Choice::Server(pick) => self.open_server(&pick, left).await,
                Choice::Region { name, .. } => {
                    let receiver = {
                        let instances = self.gateway.instances.lock();
                        let own = &self.gateway.id.name;
                        instances
                            .receiver_in(time, &name, own, &self.avoid_peers)
                            .cloned()
                    };
                    let Some(receiver) = receiver else {
                        self.opening = false;
                        self.leave_region(&name);
                        self.tries += 1;
                        continue;
                    };
                    self.tries += 1;
                    let _ = write!(self.trail, "{}@{} ", receiver.id.name, name);
                    let patience = self.patience(left, Duration::ZERO);
                    let opened = PeerAttempt::open(
                        &self.gateway,
                        &self.call,
                        &name,
                        &receiver,
                        self.delivered,
                        patience,
                    )
                    .await;
                    match &opened {
                        Ok(_) => self.arrivals += 1,
                        Err(failure) => self.note_peer_failure(failure, &receiver.id.name, &name),
                    }
                    opened.map(|(head, attempt)| (head, Attempt::Peer(attempt)))
                }
                Choice::Unavailable => {
                    self.opening = false;
                    self.note_unavailable();
                    return Err(self.refuse_unavailable());
                }
                Choice::Overloaded { expected } => {
                    self.opening = false;
                    let _ = write!(self.trail, "overloaded~{}ms ", expected.as_millis());
                    return Err(self.refuse_overloaded(expected));
                }
            };
            self.opening = false;
            match opened {
                Ok((head, attempt)) => {
                    self.gateway.metrics.count_attempt("answered");
                    self.attempt = Some(attempt);
                    return Ok((head.status, head.headers));
                }
                Err(failure) => self.settle_failure(&failure)?,
            }
        }
    }

    async fn open_server(
        &mut self,
        pick: &ServerPick,
        left: Duration,
    ) -> Result<(crate::server_attempt::AttemptHead, Attempt<C, H>), AttemptFailure> {
        self.tries += 1;
        let (expected, requests) = (pick.expected.as_millis(), pick.requests);
        let _ = write!(self.trail, "{}~{expected}ms/{requests} ", pick.id);
        if self.arrivals == 0 {
            self.gateway.earn_retry(&self.call.service);
        }
        let patience = self.patience(left, pick.expected);
        let opened =
            ServerAttempt::open(&self.gateway, &self.call, pick, self.delivered, patience).await;
        match opened {
            Ok((head, attempt)) => {
                self.arrivals += 1;
                Ok((head, Attempt::Server(attempt)))
            }
            Err(failure) => {
                if failure.arrived {
                    self.arrivals += 1;
                }
                self.avoid.push(pick.id.clone());
                Err(failure)
            }
        }
    }

    /// Returns how long an attempt may take until its answer begins.
    fn patience(&self, left: Duration, expected: Duration) -> Duration {
        if !self.call.route.rule.is_repeatable() || self.call.max_attempts < 2 {
            return left;
        }
        let usual = self.call.route.target.max(expected).mul_f64(PATIENCE);
        usual.min(left)
    }

    /// Decides after a failure; `Ok` means that another attempt may be made.
    fn settle_failure(&mut self, failure: &AttemptFailure) -> Result<(), Refusal> {
        self.gateway.metrics.count_attempt(failure.name());
        let _ = write!(self.trail, "{} ", failure.name());
        if let Some(attempt) = self.attempt.take() {
            attempt.judge(failure, &self.call);
            if let Attempt::Server(attempt) = &attempt {
                self.avoid.push(attempt.pick().id.clone());
            }
            if let Attempt::Peer(attempt) = &attempt {
                self.avoid_peers.push(attempt.peer.clone());
            }
        }
        self.events.clear();
        if failure.execution != Execution::NotRun {
            self.execution = Execution::Unknown;
        }
        match &failure.cause {
            AttemptCause::Error(answer) => self.error_answer = Some(answer.as_ref().clone()),
            AttemptCause::Peer { retry_after, .. } => self.retry_after = *retry_after,
            _ => {}
        }
        if self.may_retry(failure) {
            return Ok(());
        }
        Err(self.final_refusal(failure))
    }

    fn may_retry(&self, failure: &AttemptFailure) -> bool {
        if self.tries >= MOST_TRIES || self.call.time_left(now()) < LEAST_TIME {
            return false;
        }
        let service = &self.call.service;
        if failure.execution == Execution::NotRun {
            // An instance that refuses has room for no retry of its own either.
            return !failure.arrived || self.gateway.spend_retry(service);
        }
        self.call.route.rule.is_repeatable()
            && self.arrivals < self.call.max_attempts
            && self.gateway.spend_retry(service)
    }

    async fn read_whole(&mut self) -> Result<Bytes, AttemptFailure> {
        let mut body = BytesMut::new();
        loop {
            let patience = self.patience(self.call.time_left(now()), Duration::ZERO);
            let Some(attempt) = &mut self.attempt else {
                return Err(AttemptFailure::unknown(AttemptCause::Broken));
            };
            match attempt.chunk(patience).await {
                None => {
                    self.attempt = None;
                    return Ok(body.freeze());
                }
                Some(Ok(part)) if body.len() + part.len() <= ANSWER_LIMIT => {
                    body.extend_from_slice(&part);
                }
                Some(Ok(_)) => return Err(AttemptFailure::unknown(AttemptCause::Garbled)),
                Some(Err(failure)) => return Err(failure),
            }
        }
    }

    /// Reads until whole events that were not delivered before are at hand.
    async fn read_events(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        loop {
            if let Some(data) = self.take_events() {
                return Ok(Some(data));
            }
            let patience = self.stream_patience();
            let Some(attempt) = &mut self.attempt else {
                return Err(AttemptFailure::unknown(AttemptCause::Broken));
            };
            match attempt.chunk(patience).await {
                None if self.events.has_rest() => {
                    return Err(AttemptFailure::unknown(AttemptCause::Broken));
                }
                None => {
                    self.attempt = None;
                    return Ok(None);
                }
                Some(Ok(part)) => {
                    if !self.events.push(&part) {
                        return Err(AttemptFailure::unknown(AttemptCause::Garbled));
                    }
                }
                Some(Err(failure)) => return Err(failure),
            }
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let mut data = BytesMut::new();
        while let Some(event) = self.events.next_event() {
            if let Some(id) = event.id {
                if self.delivered.is_some_and(|delivered| id <= delivered) {
                    continue;
                }
                self.delivered = Some(id);
            }
            data.extend_from_slice(&event.raw);
        }
        (!data.is_empty()).then(|| data.freeze())
    }

    fn stream_patience(&self) -> Duration {
        let left = self.call.time_left(now());
        match self.call.route.rule {
            ExecutionRule::Stream {
                resumable: true,
                gap,
            } if self.delivered != self.call.last_event => {
                STREAM_SILENCE.max(gap.mul_f64(PATIENCE)).min(left)
            }
            _ => self.patience(left, Duration::ZERO),
        }
    }

    /// Returns the failure that a backend server answered with, if that is the last word.
    pub(crate) fn take_error_answer(&mut self) -> Option<BufferedResponse> {
        self.error_answer.take()
    }

    /// Returns whether the request may have run.
    pub(crate) const fn execution(&self) -> Execution {
        self.execution
    }

    /// Writes the line about the request and counts it.
    pub(crate) fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let time = now();
        let call = &self.call;
        let took = time.since(call.arrived);
        self.gateway.metrics.count_request(outcome, took);
        let Some(suppressed) = self.gateway.log.request_lines.take(time) else {
            return;
        };
        slog::info!(self.gateway.log.requests, "request ended";
            "id" => call.id.as_str(),
            "outcome" => outcome,
            "execution" => self.execution.as_str(),
            "route" => &call.route.name,
            "service" => call.service.as_str(),
            "configuration" => call.configuration.version,
            "forwarded" => call.forwarded,
            "attempts" => self.trail.trim_end(),
            "prompt_tokens" => call.work.prompt_tokens,
            "first_part_ms" => self.first_part.map(millis),
            "longest_pause_ms" => self.first_part.map(|_| millis(self.longest_pause)),
            "took_ms" => millis(took),
            "suppressed" => suppressed,
        );
    }
}

impl<C: ControlPlane, H: HeaderMapping> Drop for Exchange<C, H> {
    fn drop(&mut self) {
        if self.opening || self.attempt.is_some() {
            self.execution = Execution::Unknown;
        }
        self.finish("caller-left");
    }
}
