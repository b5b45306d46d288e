//! Processing of one admitted request: attempts, retries and the response.

use std::{fmt::Write, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use hawthornquay_decisions::{
    BackendName, Execution, InstanceName, MonotonicTime, Refusal, RefusalCode, RegionName,
};
use hawthornquay_traffic::{PlacementDecision, ServerPick};
use http::{HeaderMap, StatusCode};
use parking_lot::Mutex;

use crate::{
    AdmittedRequest, AttemptCause, AttemptFailure, BufferedResponse, ControlPlane, EventReader,
    Gateway, HeaderMapping, ResponseStart,
    attempt::{Attempt, AttemptDestination},
    exchange_stop::stopping_refusal,
    gateway::now,
    peer_attempt::PeerAttempt,
    response_memory::{MAX_RESPONSE_BYTES, ResponseMemory},
    server_attempt::ServerAttempt,
    silence_limit::SilenceLimit,
    stream_progress::StreamProgress,
    wire_views::millis,
};

/// Bound on all attempts for one request, including those that reached no backend server.
pub(crate) const MAX_ATTEMPTS_IN_TOTAL: u32 = 5;

/// Shortest time left before the deadline with which an attempt is started.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Statuses that promise to callers that a request has not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Processing of one admitted request.
///
/// Dropping it cancels the request at the backend server.
pub(crate) struct Exchange<C: ControlPlane, H: HeaderMapping> {
    pub(crate) gateway: Arc<Gateway<C, H>>,
    pub(crate) request: AdmittedRequest,
    pub(crate) attempt: Option<Attempt<C, H>>,
    /// Whether an attempt is waiting for the response head.
    pub(crate) awaiting_head: bool,
    /// All attempts so far, including those that reached no backend server.
    pub(crate) attempts: u32,
    /// Attempts that reached or may have reached a backend server, here or in another region.
    pub(crate) delivered_attempts: u32,
    /// Permits for limited servers that were denied.
    pub(crate) denied_permits: u32,
    /// Time that the request has waited for answers about permits.
    pub(crate) permit_wait: Duration,
    /// Whether any attempt may have run the request.
    pub(crate) execution: Execution,
    /// Whether the request is tried although a part of its prompt is quarantined.
    pub(crate) is_trial: bool,
    /// Backend servers that failed the request.
    pub(crate) excluded_servers: Vec<BackendName>,
    /// Instances that failed or refused the request.
    pub(crate) excluded_instances: Vec<InstanceName>,
    /// Regions without capacity for the request or without an instance that accepts it.
    pub(crate) excluded_regions: Vec<RegionName>,
    pub(crate) events: EventReader,
    /// Which events the caller has received, and which come next.
    pub(crate) progress: StreamProgress,
    /// Part of the memory budget for the buffered part of the response.
    pub(crate) memory: Option<ResponseMemory>,
    /// Time of the last event with data, or of the response head.
    pub(crate) progress_at: MonotonicTime,
    /// Bytes of the current response that have been read since its time-out expired.
    pub(crate) late_bytes: usize,
    /// Time until which the current attempt is kept although it is silent.
    pub(crate) kept_until: MonotonicTime,
    /// Placement of the attempt that is to replace a silent one.
    pub(crate) replacement: Mutex<Option<PlacementDecision>>,
    /// Head of the response that goes on in place of a silent one.
    pub(crate) moved_head: Option<(StatusCode, HeaderMap)>,
    /// Last error response of a backend server.
    error_response: Option<BufferedResponse>,
    /// Delay before a retry that the last refusal by another instance states.
    pub(crate) retry_after: Option<Duration>,
    /// Value of `attempts` in the log line of the request.
    pub(crate) attempt_trace: String,
    /// Time from the arrival of the request to the first events of a stream.
    first_part: Option<Duration>,
    /// Time at which the last events were delivered.
    pub(crate) last_events_at: Option<MonotonicTime>,
    /// Events that have been read since the last delivery.
    pub(crate) new_events: u64,
    /// Time for which the server was waited for since then.
    pub(crate) server_wait: Duration,
    /// Events that were delivered before those.
    pub(crate) run_events: u64,
    /// Longest time between two deliveries of events to the caller.
    pub(crate) longest_pause: Duration,
    finished: bool,
}

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    pub(crate) fn new(gateway: Arc<Gateway<C, H>>, request: AdmittedRequest) -> Self {
        let is_resumable = request.route.semantics.is_repeatable();
        let progress = StreamProgress::new(request.last_event, is_resumable);
        Self {
            gateway,
            request,
            attempt: None,
            awaiting_head: false,
            attempts: 0,
            delivered_attempts: 0,
            denied_permits: 0,
            permit_wait: Duration::ZERO,
            execution: Execution::NotRun,
            is_trial: false,
            excluded_servers: Vec::new(),
            excluded_instances: Vec::new(),
            excluded_regions: Vec::new(),
            events: EventReader::default(),
            progress,
            memory: None,
            progress_at: MonotonicTime(0),
            late_bytes: 0,
            kept_until: MonotonicTime(0),
            replacement: Mutex::new(None),
            moved_head: None,
            error_response: None,
            retry_after: None,
            attempt_trace: String::new(),
            first_part: None,
            last_events_at: None,
            new_events: 0,
            server_wait: Duration::ZERO,
            run_events: 0,
            longest_pause: Duration::ZERO,
            finished: false,
        }
    }

    /// Returns the request.
    pub(crate) const fn request(&self) -> &AdmittedRequest {
        &self.request
    }

    /// Makes attempts until one returns a complete response or the first events of a stream.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no attempt succeeds and no other may be made, or if the process ends
    /// first.
    pub(crate) async fn start(&mut self) -> Result<ResponseStart, Refusal> {
        let gateway = self.gateway.clone();
        let started = gateway.stop.run_until_end(self.run_attempts()).await;
        started.unwrap_or_else(|| Err(self.end_with_process()))
    }

    async fn run_attempts(&mut self) -> Result<ResponseStart, Refusal> {
        loop {
            let (status, headers) = self.open_attempt().await?;
            if self.request.route.semantics.is_stream() {
                match self.read_events().await {
                    Ok(first) => {
                        let (status, headers) = self.moved_head.take().unwrap_or((status, headers));
                        self.progress.set_head(status, &headers);
                        self.first_part = Some(now().since(self.request.arrived_at));
                        self.last_events_at = Some(now());
                        self.run_events = std::mem::take(&mut self.new_events);
                        self.server_wait = Duration::ZERO;
                        return Ok(ResponseStart::Stream {
                            status,
                            headers,
                            first: first.unwrap_or_default(),
                        });
                    }
                    Err(failure) => self.handle_failure(&failure)?,
                }
            } else {
                match self.read_response_body().await {
                    Ok(body) => {
                        self.finish("answered");
                        return Ok(ResponseStart::Complete(BufferedResponse {
                            status,
                            headers,
                            body,
                        }));
                    }
                    Err(failure) => self.handle_failure(&failure)?,
                }
            }
        }
    }

    /// Makes attempts until one returns a response head.
    pub(crate) async fn open_attempt(&mut self) -> Result<(StatusCode, HeaderMap), Refusal> {
        loop {
            let time = now();
            let left = self.request.time_left(time);
            if left < MIN_ATTEMPT_TIME {
                return Err(self.deadline_refusal());
            }
            if self.attempts >= MAX_ATTEMPTS_IN_TOTAL {
                return Err(self.unavailable_refusal());
            }
            self.check_quarantine()?;
            let replacement = self.replacement.get_mut().take();
            let placement = replacement.unwrap_or_else(|| self.choose_placement(None));
            if self.is_too_late(&placement) {
                self.attempt_trace.push_str("stopping ");
                return Err(stopping_refusal());
            }
            let Some(placement) = self.prepare(placement, left).await else {
                continue;
            };
            self.count_stream_concern(&placement);
            self.awaiting_head = true;
            let opened = match placement {
                PlacementDecision::Server(pick) => self.open_server_attempt(&pick, left).await,
                PlacementDecision::Region { name, .. } => {
                    let receiver = {
                        let instances = self.gateway.instances.lock();
                        let own = &self.gateway.id.name;
                        instances
                            .forward_target_in(time, &name, own, &self.excluded_instances)
                            .cloned()
                    };
                    let Some(receiver) = receiver else {
                        self.awaiting_head = false;
                        self.exclude_region(&name);
                        self.attempts += 1;
                        continue;
                    };
                    self.attempts += 1;
                    let _ = write!(self.attempt_trace, "{}@{} ", receiver.id.name, name);
                    let current = AttemptDestination::Instance(&receiver.id.name);
                    let limit = SilenceLimit {
                        max_silence: self.attempt_timeout(left, Duration::ZERO),
                        deadline: self.request.deadline,
                        can_replace: &|| self.can_replace(current, self.delivered_attempts + 1),
                        is_running: &|| Box::pin(async { false }),
                    };
                    let opened = PeerAttempt::open(
                        &self.gateway,
                        &self.request,
                        &name,
                        &receiver,
                        self.progress.last_event(),
                        &limit,
                    )
                    .await;
                    match &opened {
                        Ok(_) => self.delivered_attempts += 1,
                        Err(failure) => self.record_peer_failure(failure, &receiver.id.name, &name),
                    }
                    opened.map(|(head, attempt)| (head, Attempt::Peer(attempt)))
                }
                PlacementDecision::Unavailable => {
                    self.awaiting_head = false;
                    self.trace_region_loads();
                    return Err(self.unavailable_refusal());
                }
                PlacementDecision::Overloaded {
                    expected_latency: expected,
                    ..
                } => {
                    self.awaiting_head = false;
                    let _ = write!(self.attempt_trace, "overloaded~{}ms ", expected.as_millis());
                    return Err(self.overload_refusal(expected));
                }
            };
            self.awaiting_head = false;
            match opened {
                Ok((head, attempt)) => {
                    self.gateway.metrics.count_attempt("answered");
                    self.memory = Some(ResponseMemory::new(
                        attempt.destination().name(),
                        &self.gateway.memory,
                    ));
                    self.attempt = Some(attempt);
                    self.replacement.get_mut().take();
                    self.moved_head = None;
                    self.progress_at = now();
                    self.progress.start_run();
                    return Ok((head.status, head.headers));
                }
                Err(failure) => self.handle_failure(&failure)?,
            }
        }
    }

    /// Ends the opening of an attempt whose request may have reached a server.
    pub(crate) fn abandon_opening(&mut self) {
        if std::mem::replace(&mut self.awaiting_head, false) {
            self.delivered_attempts += 1;
        }
    }

    async fn open_server_attempt(
        &mut self,
        pick: &ServerPick,
        left: Duration,
    ) -> Result<(crate::server_attempt::AttemptHead, Attempt<C, H>), AttemptFailure> {
        self.attempts += 1;
        self.trace_pick(pick);
        if self.delivered_attempts == 0 {
            self.gateway.deposit_retry(&self.request.service);
            self.gateway.record_admitted(&self.request);
        }
        let current = AttemptDestination::Server(&pick.id);
        let limit = SilenceLimit {
            max_silence: self.attempt_timeout(left, pick.expected_latency),
            deadline: self.request.deadline,
            can_replace: &|| self.can_replace(current, self.delivered_attempts + 1),
            is_running: &|| Box::pin(self.is_running(pick)),
        };
        let opened = ServerAttempt::open(
            &self.gateway,
            &self.request,
            pick,
            self.progress.last_event(),
            &limit,
        )
        .await;
        match opened {
            Ok((head, attempt)) => {
                self.delivered_attempts += 1;
                Ok((head, Attempt::Server(Box::new(attempt))))
            }
            Err(failure) => {
                if failure.reached_server {
                    self.delivered_attempts += 1;
                }
                self.excluded_servers.push(pick.id.clone());
                Err(failure)
            }
        }
    }

    /// Records a failed attempt; `Ok` means that another attempt may be made.
    pub(crate) fn handle_failure(&mut self, failure: &AttemptFailure) -> Result<(), Refusal> {
        self.gateway.metrics.count_attempt(failure.outcome());
        let _ = write!(self.attempt_trace, "{} ", failure.outcome());
        if let Some(attempt) = self.attempt.take() {
            attempt.record_failure(failure, &self.request);
            if let Attempt::Server(attempt) = &attempt {
                self.excluded_servers.push(attempt.pick().id.clone());
            }
            if let Attempt::Peer(attempt) = &attempt {
                self.excluded_instances.push(attempt.peer.clone());
            }
        }
        self.events.clear();
        (self.new_events, self.server_wait) = (0, Duration::ZERO);
        self.late_bytes = 0;
        self.memory = None;
        if failure.execution != Execution::NotRun {
            self.execution = Execution::Unknown;
        }
        match &failure.cause {
            AttemptCause::Error(response) => self.error_response = Some(response.as_ref().clone()),
            AttemptCause::Peer { retry_after, .. } => self.retry_after = *retry_after,
            _ => {}
        }
        // Checked first, so that a request that is refused anyway uses no retry budget.
        self.check_peer_quarantine(failure)?;
        self.check_quarantine()?;
        if !matches!(failure.cause, AttemptCause::Silent) {
            self.replacement.get_mut().take();
        }
        if self.may_retry(failure) {
            return Ok(());
        }
        Err(self.final_refusal(failure))
    }

    fn may_retry(&self, failure: &AttemptFailure) -> bool {
        if matches!(failure.cause, AttemptCause::Unsendable(_))
            || self.attempts >= MAX_ATTEMPTS_IN_TOTAL
            || self.request.time_left(now()) < MIN_ATTEMPT_TIME
        {
            return false;
        }
        let service = &self.request.service;
        if failure.execution == Execution::NotRun {
            // An attempt that reached no backend server uses no retry budget. This includes a
            // refusal by another instance: that instance has no capacity to retry the request.
            return !failure.reached_server || self.gateway.try_withdraw_retry(service);
        }
        self.request.route.semantics.is_repeatable()
            && self.progress.can_resume()
            && self.delivered_attempts < self.request.max_attempts
            && self.gateway.try_withdraw_retry(service)
    }

    /// Adapts the memory of the current response to `bytes` buffered bytes; returns whether the
    /// budget allows them.
    pub(crate) fn try_hold(&mut self, bytes: usize) -> bool {
        self.memory
            .as_mut()
            .is_some_and(|memory| memory.try_hold(bytes))
    }

    async fn read_response_body(&mut self) -> Result<Bytes, AttemptFailure> {
        let mut body = BytesMut::new();
        loop {
            let max_wait = self.body_timeout();
            let Some(attempt) = &mut self.attempt else {
                return Err(AttemptFailure::unknown(AttemptCause::Broken));
            };
            match attempt.next_chunk(max_wait).await {
                None => {
                    attempt.record_whole_answer();
                    self.attempt = None;
                    return match self.memory.take() {
                        Some(memory) => Ok(memory.hold_with(body)),
                        None => Err(AttemptFailure::unknown(AttemptCause::Broken)),
                    };
                }
                Some(Ok(part))
                    if body.len() + part.len() <= MAX_RESPONSE_BYTES
                        && self.try_hold(body.len() + part.len()) =>
                {
                    self.record_bytes(max_wait, part.len())?;
                    self.kept_until = MonotonicTime(0);
                    body.extend_from_slice(&part);
                }
                Some(Ok(_)) => return Err(AttemptFailure::unknown(AttemptCause::Garbled)),
                Some(Err(failure)) => self.check_silence(failure)?,
            }
        }
    }

    /// Returns the error response of a backend server, to be sent to the caller in place of a
    /// refusal.
    ///
    /// A server that has run a request that may run only once may still answer with a status that
    /// promises to the caller that it has not run. Such a response is not returned.
    pub(crate) fn take_error_response(&mut self) -> Option<BufferedResponse> {
        let is_repeatable = self.request.route.semantics.is_repeatable();
        let response = self.error_response.take();
        response.filter(|response| is_repeatable || !PROMISES.contains(&response.status))
    }

    /// Returns whether the request may have run.
    pub(crate) const fn execution(&self) -> Execution {
        self.execution
    }

    /// Logs the request and counts it in the metrics; only the first call has an effect.
    pub(crate) fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let time = now();
        let request = &self.request;
        let took = time.since(request.arrived_at);
        self.gateway.metrics.count_request(outcome, took);
        let is_promise_kept = request
            .has_returned
            .then_some(outcome != RefusalCode::NoCapacity.as_str());
        if let Some(is_kept) = is_promise_kept {
            let event = if is_kept { "kept" } else { "broken" };
            self.gateway.metrics.count_promises(event, 1);
        }
        let Some(suppressed) = self.gateway.log.request_log_limit.admit_line(time) else {
            return;
        };
        slog::info!(self.gateway.log.requests, "request ended";
            "id" => request.id.as_str(),
            "outcome" => outcome,
            "execution" => self.execution.as_str(),
            "route" => &request.route.name,
            "service" => request.service.as_str(),
            "configuration" => request.configuration.version,
            "forwarded" => request.forwarded,
            "returned" => request.has_returned,
            "promise_kept" => is_promise_kept,
            "attempts" => self.attempt_trace.trim_end(),
            "prompt_tokens" => request.work.prompt_tokens,
            "first_part_ms" => self.first_part.map(millis),
            "longest_pause_ms" => self.first_part.map(|_| millis(self.longest_pause)),
            "took_ms" => millis(took),
            "suppressed" => suppressed,
        );
    }
}

impl<C: ControlPlane, H: HeaderMapping> Drop for Exchange<C, H> {
    fn drop(&mut self) {
        if self.awaiting_head || self.attempt.is_some() {
            self.execution = Execution::Unknown;
        }
        self.finish("caller-left");
    }
}
