//! Attempt to run a request at a backend server of the own region.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use hawthornquay_backends::{Answer, AnswerBody, BackendError, BackendRequest};
use hawthornquay_decisions::{Execution, MonotonicTime};
use hawthornquay_traffic::{ServerFailure, ServerPick};
use http::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::{
    AdmittedRequest, AttemptCause, AttemptFailure, BackendRequestMetadata, BackendResponseMetadata,
    BufferedResponse, ControlPlane, Gateway, HeaderMapping, gateway::now,
    hop_headers::strip_hop_headers,
};

/// Largest answer that is not a stream, in bytes; a larger one counts as broken.
const ANSWER_LIMIT: usize = 8 << 20;

/// Longest time to read the rest of a failure that a backend server answers with.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Running attempt at a backend server.
///
/// Dropping it resets the connection, which ends the request at the server.
pub(crate) struct ServerAttempt<C: ControlPlane, H: HeaderMapping> {
    gateway: Arc<Gateway<C, H>>,
    pick: ServerPick,
    started: MonotonicTime,
    answered: bool,
    body: Option<AnswerBody>,
}

/// Head of an answer that is on its way.
pub(crate) struct AttemptHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

impl<C: ControlPlane, H: HeaderMapping> ServerAttempt<C, H> {
    /// Sends a request and waits for the head of its answer for at most `patience`.
    pub(crate) async fn open(
        gateway: &Arc<Gateway<C, H>>,
        call: &AdmittedRequest,
        pick: &ServerPick,
        last_event: Option<u64>,
        patience: Duration,
    ) -> Result<(AttemptHead, Self), AttemptFailure> {
        let started = now();
        gateway
            .servers
            .lock()
            .start(started, pick, call.work.shared_prefix());
        let mut attempt = Self {
            gateway: gateway.clone(),
            pick: pick.clone(),
            started,
            answered: false,
            body: None,
        };
        let answer = attempt.send(call, last_event, patience).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                attempt.judge(&failure, call);
                return Err(failure);
            }
        };
        match attempt.read_head(call, answer).await {
            Ok(head) => Ok((head, attempt)),
            Err(failure) => {
                attempt.judge(&failure, call);
                Err(failure)
            }
        }
    }

    /// Returns the next part of the body, within `patience`; `None` at its end.
    pub(crate) async fn chunk(
        &mut self,
        patience: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        let body = self.body.as_mut()?;
        let part = match timeout(patience, body.next()).await {
            Ok(None) => {
                self.note_answer();
                self.gateway.servers.lock().succeed(now(), &self.pick.id);
                self.body = None;
                return None;
            }
            Ok(Some(Ok(data))) => {
                self.note_answer();
                return Some(Ok(data));
            }
            Ok(Some(Err(_))) => AttemptFailure::unknown(AttemptCause::Broken),
            Err(_) => AttemptFailure::unknown(AttemptCause::Silent),
        };
        self.body = None;
        Some(Err(part))
    }

    /// Returns the backend server.
    pub(crate) const fn pick(&self) -> &ServerPick {
        &self.pick
    }

    /// Reports a failure that came after the head.
    pub(crate) fn judge(&self, failure: &AttemptFailure, call: &AdmittedRequest) {
        let mut servers = self.gateway.servers.lock();
        let kind = match failure.cause {
            AttemptCause::WrongServer => return servers.misplace(&self.pick.id),
            AttemptCause::Rejected | AttemptCause::Peer { .. } => return,
            AttemptCause::Unreachable => ServerFailure::Unreachable,
            // A lost or late answer does not show that the server is gone.
            AttemptCause::Silent
            | AttemptCause::Broken
            | AttemptCause::Garbled
            | AttemptCause::Error(_) => ServerFailure::BadAnswer,
        };
        servers.fail(now(), &self.pick.id, kind, &call.configuration);
    }

    async fn send(
        &self,
        call: &AdmittedRequest,
        last_event: Option<u64>,
        patience: Duration,
    ) -> Result<Answer, AttemptFailure> {
        let gateway = &self.gateway;
        let connection = gateway
            .backends
            .connect_fresh(self.pick.address)
            .await
            .map_err(|_| AttemptFailure::unsent(AttemptCause::Unreachable))?;
        let headers = gateway
            .header_mapping
            .backend_headers(&BackendRequestMetadata {
                headers: &call.headers,
                organisation: call.organisation.as_ref(),
                server: &self.pick.id,
                time_left: call.time_left(now()),
                priority: call.priority,
                last_event,
                copy_from: self.pick.copy_from,
            });
        let req = BackendRequest::new(call.method.clone(), &call.path)
            .headers(headers)
            .body(call.body.clone())
            .head_timeout(patience);
        connection.send(req).await.map_err(|error| AttemptFailure {
            execution: error.execution(),
            arrived: error.execution() != Execution::NotRun,
            cause: match error {
                BackendError::HeadTimeout { .. } => AttemptCause::Silent,
                BackendError::ClosedUnsent { .. } | BackendError::Request(_) => {
                    AttemptCause::Unreachable
                }
                _ => AttemptCause::Broken,
            },
        })
    }

    async fn read_head(
        &mut self,
        call: &AdmittedRequest,
        answer: Answer,
    ) -> Result<AttemptHead, AttemptFailure> {
        let Answer { head, body } = answer;
        let facts = self.gateway.header_mapping.read_answer(&head);
        self.note_facts(&facts);
        if facts.not_run || facts.wrong_server {
            let cause = if facts.wrong_server {
                AttemptCause::WrongServer
            } else {
                AttemptCause::Rejected
            };
            return Err(AttemptFailure {
                cause,
                execution: Execution::NotRun,
                arrived: true,
            });
        }
        let is_own = facts
            .request_id
            .as_deref()
            .is_none_or(|id| id == call.id.as_str());
        let status = head.status;
        if !is_own || (status.is_success() && !facts.signed) {
            return Err(AttemptFailure::unknown(AttemptCause::Garbled));
        }
        let mut headers = head.headers;
        strip_hop_headers(&mut headers);
        if status.is_success() {
            self.body = Some(body);
            return Ok(AttemptHead { status, headers });
        }
        self.note_answer();
        let body = timeout(ERROR_BODY_TIMEOUT, body.read(ANSWER_LIMIT)).await;
        let Ok(Ok(body)) = body else {
            return Err(AttemptFailure::unknown(AttemptCause::Broken));
        };
        let answer = BufferedResponse {
            status,
            headers,
            body,
        };
        Err(AttemptFailure {
            cause: AttemptCause::Error(Box::new(answer)),
            execution: Execution::Ran,
            arrived: true,
        })
    }

    fn note_facts(&self, facts: &BackendResponseMetadata) {
        let mut servers = self.gateway.servers.lock();
        if let Some(load) = facts.load {
            servers.report(now(), &self.pick.id, load);
        }
        if let Some(cold) = facts.cold {
            servers.report_cold(now(), &self.pick.id, cold);
        }
    }

    fn note_answer(&mut self) {
        if !self.answered {
            self.answered = true;
            let took = now().since(self.started);
            self.gateway.servers.lock().answer(&self.pick, Some(took));
        }
    }
}

impl<C: ControlPlane, H: HeaderMapping> Drop for ServerAttempt<C, H> {
    fn drop(&mut self) {
        let mut servers = self.gateway.servers.lock();
        if !self.answered {
            servers.answer(&self.pick, None);
        }
        servers.end(&self.pick.id);
    }
}
