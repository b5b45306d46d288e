//! Attempt to run a request on a backend server of the same region.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hawthornquay_backends::{BackendError, BackendRequest, BackendResponse, ResponseBody};
use hawthornquay_decisions::{AnswerStage, BackendName, Execution, MonotonicTime, PartId};
use hawthornquay_http::MemoryBudget;
use hawthornquay_traffic::{
    LimitStatement, PREFILL_TOKENS_PER_MS, RampOutcome, ServerFailure, ServerPick,
};
use http::{HeaderMap, Method, StatusCode, header};
use tokio::time::timeout;

use crate::{
    AdmittedRequest, AttemptCause, AttemptFailure, BackendRequestMetadata, BackendResponseMetadata,
    BufferedResponse, ControlPlane, Gateway, HeaderMapping,
    gateway::now,
    hop_headers::strip_hop_headers,
    quarantine::confirm_crash,
    response_memory::{MAX_RESPONSE_BYTES, ResponseMemory},
    silence_limit::SilenceLimit,
};

/// Attempt to run a request on a backend server.
///
/// Dropping it resets the connection, which cancels the request at the server.
pub(crate) struct ServerAttempt<C: ControlPlane, H: HeaderMapping> {
    gateway: Arc<Gateway<C, H>>,
    pick: ServerPick,
    started: MonotonicTime,
    /// Time of the first byte of the response.
    responded_at: Option<MonotonicTime>,
    /// Whether the response has been read to its end.
    is_complete: bool,
    /// Parts of the shared prefix of the prompt.
    parts: Vec<PartId>,
    /// How far the answer has come.
    answer: Answer,
    body: Option<ResponseBody>,
    /// Whether the end of the body is marked, so that it shows that the answer is complete.
    is_framed: bool,
    /// Whether a close of the connection interrupts the response instead of ending it: nothing has
    /// arrived yet of a stream, from its start, that has neither a length nor chunks.
    awaits_data: bool,
}

/// How far the answer of an attempt has come.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// No complete event and no complete response has arrived.
    Awaited,
    /// It began at `at` and has reached this stage.
    Began {
        at: MonotonicTime,
        reached: AnswerStage,
    },
    /// The server has answered with an error.
    Failed,
}

impl Answer {
    /// Returns the stage of answers that clear the parts of the request if its server crashes at `time`;
    /// `None` if the crash is no evidence against them.
    fn cleared_by(self, time: MonotonicTime) -> Option<AnswerStage> {
        match self {
            Self::Awaited => AnswerStage::to_clear(None),
            Self::Began { at, .. } => AnswerStage::to_clear(Some(time.since(at))),
            Self::Failed => None,
        }
    }
}

/// Response head whose body follows.
pub(crate) struct AttemptHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

impl<C: ControlPlane, H: HeaderMapping> ServerAttempt<C, H> {
    /// Sends a request that is recorded as sent (see `Exchange::prepare`), and waits for the response head
    /// within `limit`.
    pub(crate) async fn open(
        gateway: &Arc<Gateway<C, H>>,
        request: &AdmittedRequest,
        pick: &ServerPick,
        last_event: Option<u64>,
        limit: &SilenceLimit<'_>,
    ) -> Result<(AttemptHead, Self), AttemptFailure> {
        let started = now();
        let mut attempt = Self {
            gateway: gateway.clone(),
            pick: pick.clone(),
            started,
            responded_at: None,
            is_complete: false,
            parts: request.work.shared_part_ids(),
            answer: Answer::Awaited,
            body: None,
            is_framed: false,
            awaits_data: request.route.semantics.is_stream() && last_event.is_none(),
        };
        let response = tokio::select! {
            biased;
            response = attempt.send(request, last_event, limit) => response,
            () = gateway.parts_refused(&attempt.parts) => {
                Err(AttemptFailure::unknown(AttemptCause::Quarantined))
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(failure) => {
                attempt.record_failure(&failure, request);
                return Err(failure);
            }
        };
        match attempt.read_head(request, response, limit).await {
            Ok(head) => Ok((head, attempt)),
            Err(failure) => {
                attempt.record_failure(&failure, request);
                Err(failure)
            }
        }
    }

    /// Returns the next chunk of the response body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt fails or no chunk arrives within `max_wait`. In the second
    /// case, whose cause is [`AttemptCause::Silent`], the attempt may still be continued.
    pub(crate) async fn next_chunk(
        &mut self,
        max_wait: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        let body = self.body.as_mut()?;
        let chunk = if !matches!(self.answer, Answer::Awaited) {
            timeout(max_wait, body.next()).await
        } else {
            tokio::select! {
                biased;
                chunk = timeout(max_wait, body.next()) => chunk,
                () = self.gateway.parts_refused(&self.parts) => {
                    self.body = None;
                    return Some(Err(AttemptFailure::unknown(AttemptCause::Quarantined)));
                }
            }
        };
        let failure = match chunk {
            Ok(None) if self.awaits_data => AttemptFailure::unknown(AttemptCause::Broken),
            Ok(None) => {
                self.record_first_chunk();
                self.gateway
                    .servers
                    .lock()
                    .record_success(now(), &self.pick.id);
                self.body = None;
                self.is_complete = true;
                return None;
            }
            Ok(Some(Ok(data))) => {
                self.awaits_data = false;
                self.record_first_chunk();
                return Some(Ok(data));
            }
            Ok(Some(Err(_))) => AttemptFailure::unknown(AttemptCause::Broken),
            Err(_) => return Some(Err(AttemptFailure::unknown(AttemptCause::Silent))),
        };
        self.body = None;
        Some(Err(failure))
    }

    /// Returns the backend server that was chosen.
    pub(crate) const fn pick(&self) -> &ServerPick {
        &self.pick
    }

    /// Records that a complete event of the answer has arrived. Part of it does not count: a server may
    /// crash while it writes the first event.
    pub(crate) fn record_answer_event(&mut self) {
        let time = now();
        let (began_at, stage) = match self.answer {
            Answer::Awaited => (time, AnswerStage::Begun),
            Answer::Began { at, reached } => {
                let stage = AnswerStage::after(time.since(at));
                if stage == reached {
                    return;
                }
                (at, stage)
            }
            Answer::Failed => return,
        };
        self.reach(began_at, stage);
    }

    /// Records that the answer is complete; ignored if its server might have crashed instead.
    pub(crate) fn record_whole_answer(&mut self) {
        if !self.is_framed {
            return self.record_answer_event();
        }
        let began_at = match self.answer {
            Answer::Awaited => now(),
            Answer::Began { at, .. } => at,
            Answer::Failed => return,
        };
        self.reach(began_at, AnswerStage::Established);
    }

    fn reach(&mut self, at: MonotonicTime, stage: AnswerStage) {
        self.answer = Answer::Began { at, reached: stage };
        self.gateway.record_answer(at, stage, &self.parts);
    }

    /// Counts a failure against the backend server.
    pub(crate) fn record_failure(&self, failure: &AttemptFailure, request: &AdmittedRequest) {
        if matches!(failure.cause, AttemptCause::Broken)
            && let Some(stage) = self.answer.cleared_by(now())
        {
            confirm_crash(&self.gateway, &request.id, &self.pick, &self.parts, stage);
        }
        let mut servers = self.gateway.servers.lock();
        let kind = match failure.cause {
            AttemptCause::WrongServer => return servers.remove_replaced(now(), &self.pick.id),
            AttemptCause::Rejected
            | AttemptCause::Quarantined
            | AttemptCause::Unsendable(_)
            | AttemptCause::Peer { .. } => {
                return;
            }
            AttemptCause::Unreachable => ServerFailure::Unreachable,
            AttemptCause::Broken => ServerFailure::Interrupted,
            // A lost or late response does not show that the server is unreachable.
            AttemptCause::Silent
            | AttemptCause::TimedOut
            | AttemptCause::Garbled
            | AttemptCause::Error(_) => ServerFailure::BadResponse,
        };
        servers.record_failure(now(), &self.pick.id, kind, &request.configuration);
        if kind != ServerFailure::BadResponse {
            let outcome = RampOutcome::Failed;
            servers.record_ramp_outcome(now(), self.started, &self.pick, outcome);
            self.gateway.server_doubted.notify_one();
        }
    }

    async fn send(
        &self,
        request: &AdmittedRequest,
        last_event: Option<u64>,
        limit: &SilenceLimit<'_>,
    ) -> Result<BackendResponse, AttemptFailure> {
        let gateway = &self.gateway;
        let connection = gateway
            .backends
            .connect_fresh(self.pick.address)
            .await
            .map_err(|_| AttemptFailure::unsent(AttemptCause::Unreachable))?;
        // It may have answered another request while the connection was opened.
        if gateway.servers.lock().is_paused(now(), &self.pick.id) {
            return Err(AttemptFailure::unsent(AttemptCause::Rejected));
        }
        let headers = gateway
            .header_mapping
            .backend_headers(&BackendRequestMetadata {
                headers: &request.headers,
                organisation: request.organisation.as_ref(),
                server: &self.pick.id,
                time_left: request.time_left(now()),
                priority: request.priority,
                last_event,
                copy_from: self.pick.copy_from,
            });
        let req = BackendRequest::new(request.method.clone(), &request.path)
            .headers(headers)
            .body(request.body.clone())
            .head_timeout(request.time_left(now()));
        let Some(response) = limit.wait(connection.send(req)).await else {
            return Err(AttemptFailure::unknown(AttemptCause::Silent));
        };
        response.map_err(|error| AttemptFailure {
            execution: error.execution(),
            reached_server: error.execution() != Execution::NotRun,
            cause: match error {
                BackendError::HeadTimeout { .. } => AttemptCause::Silent,
                BackendError::ClosedBeforeSend { .. } | BackendError::Request(_) => {
                    AttemptCause::Unreachable
                }
                BackendError::InvalidStatus { .. } | BackendError::UnknownTransferCoding { .. } => {
                    AttemptCause::Garbled
                }
                _ => AttemptCause::Broken,
            },
        })
    }

    async fn read_head(
        &mut self,
        request: &AdmittedRequest,
        response: BackendResponse,
        limit: &SilenceLimit<'_>,
    ) -> Result<AttemptHead, AttemptFailure> {
        let BackendResponse { mut head, body } = response;
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let has_framing = framing.iter().any(|name| head.headers.contains_key(name));
        // Removed first, so that a header that is not passed on, such as a signature that the server
        // lists in `Connection`, does not count.
        strip_hop_headers(&mut head.headers);
        let metadata = self.gateway.header_mapping.read_response(&head);
        // Holds for the server whichever request the answer belongs to.
        if let Some(pause) = metadata.pause {
            self.gateway.record_pause(&self.pick.id, pause);
        }
        if !belongs_to(request, head.status, &metadata) {
            return Err(AttemptFailure::unknown(AttemptCause::Garbled));
        }
        self.record_metadata(&metadata, head.status);
        if !metadata.wrong_server {
            let accepted = !metadata.not_run;
            let mut servers = self.gateway.servers.lock();
            servers.record_admission(&self.pick.id, accepted);
            if !accepted {
                let outcome = RampOutcome::Failed;
                servers.record_ramp_outcome(now(), self.started, &self.pick, outcome);
            }
        }
        if metadata.not_run || metadata.wrong_server {
            let cause = if metadata.wrong_server {
                AttemptCause::WrongServer
            } else {
                AttemptCause::Rejected
            };
            return Err(AttemptFailure {
                cause,
                execution: Execution::NotRun,
                reached_server: true,
            });
        }
        let status = head.status;
        let headers = head.headers;
        let has_body = status != StatusCode::NO_CONTENT && request.method != Method::HEAD;
        self.is_framed = has_framing || !has_body;
        self.awaits_data &= has_body && !has_framing;
        if status.is_success() {
            self.body = Some(body);
            return Ok(AttemptHead { status, headers });
        }
        self.record_response();
        // An error response does not show that the server can answer the request, but it is no crash.
        self.answer = Answer::Failed;
        let body = match limit
            .wait(read_error_body(body, &self.pick.id, &self.gateway.memory))
            .await
        {
            Some(Some(body)) => body,
            Some(None) => return Err(AttemptFailure::unknown(AttemptCause::Broken)),
            None => return Err(AttemptFailure::unknown(AttemptCause::Silent)),
        };
        let response = BufferedResponse {
            status,
            headers,
            body,
        };
        Err(AttemptFailure {
            cause: AttemptCause::Error(Box::new(response)),
            execution: Execution::Ran,
            reached_server: true,
        })
    }

    fn record_metadata(&self, metadata: &BackendResponseMetadata, status: StatusCode) {
        let mut servers = self.gateway.servers.lock();
        if let Some(load) = metadata.load {
            servers.record_load_report(now(), &self.pick.id, load);
        }
        if let Some(cold) = metadata.cold {
            servers.record_cold_report(now(), &self.pick.id, cold);
        }
        // A refusal need not state the limit, so one without does not end it.
        let is_statement = status.is_success() || metadata.limit != LimitStatement::Unlimited;
        if is_statement && servers.record_limit(now(), self.started, &self.pick.id, metadata.limit)
        {
            slog::info!(self.gateway.log.routing, "backend server states how many requests it takes";
                "server" => self.pick.id.as_str(), "limit" => ?metadata.limit);
        }
        if metadata.leaving && servers.record_leaving(now(), &self.pick.id) {
            slog::info!(self.gateway.log.routing, "backend server announced that it is leaving";
                "server" => self.pick.id.as_str());
        }
    }

    /// Records the first chunk of a successful response, or the end of one without a body.
    fn record_first_chunk(&mut self) {
        if self.responded_at.is_none() {
            let time = now();
            let outcome = RampOutcome::FirstChunk(time.since(self.started));
            self.gateway.servers.lock().record_ramp_outcome(
                time,
                self.started,
                &self.pick,
                outcome,
            );
        }
        self.record_response();
    }

    fn record_response(&mut self) {
        if self.responded_at.is_none() {
            let time = now();
            self.responded_at = Some(time);
            let took = time.since(self.started);
            self.gateway
                .servers
                .lock()
                .record_first_byte(&self.pick, Some(took));
        }
    }
}

/// Returns whether a response is one to `request`, and does not contradict itself.
///
/// A faulty server may write a refusal of an earlier request again. A refusal counts only if it
/// names the request, because the request would otherwise be run once more or reported as not run
/// while the server runs it.
fn belongs_to(
    request: &AdmittedRequest,
    status: StatusCode,
    metadata: &BackendResponseMetadata,
) -> bool {
    let refuses = metadata.not_run || metadata.wrong_server;
    let names_request = match &metadata.request_id {
        Some(id) => id == request.id.as_str(),
        None => !refuses,
    };
    names_request && (!status.is_success() || (metadata.signed && !refuses))
}

/// Reads the complete body of an error response; `None` if it breaks off, is too large or does not
/// fit into the memory budget.
async fn read_error_body(
    mut body: ResponseBody,
    server: &BackendName,
    memory: &MemoryBudget,
) -> Option<Bytes> {
    let mut memory = ResponseMemory::new(server.as_str(), memory);
    let mut buf = BytesMut::new();
    while let Some(part) = body.next().await {
        let part = part.ok()?;
        let len = buf.len() + part.len();
        if len > MAX_RESPONSE_BYTES || !memory.try_hold(len) {
            return None;
        }
        buf.extend_from_slice(&part);
    }
    Some(memory.hold_with(buf))
}

impl<C: ControlPlane, H: HeaderMapping> Drop for ServerAttempt<C, H> {
    fn drop(&mut self) {
        let mut servers = self.gateway.servers.lock();
        if self.responded_at.is_none() {
            let time = now();
            let outcome = RampOutcome::NoChunk(time.since(self.started));
            servers.record_ramp_outcome(time, self.started, &self.pick, outcome);
            servers.record_first_byte(&self.pick, None);
        }
        let prefill_ms = self.pick.uncached_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let prefill = Duration::from_secs_f64(prefill_ms / 1_000.0);
        let slot_time = self
            .responded_at
            .filter(|_| self.is_complete)
            .map(|at| now().since(at) + prefill);
        servers.record_end(&self.pick.id, slot_time);
    }
}
