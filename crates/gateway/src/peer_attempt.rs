//! Attempt to run a request through an instance of another region.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use hawthornquay_backends::is_final_status;
use hawthornquay_decisions::{Execution, InstanceName, RefusalCode, RegionName};
use hawthornquay_http::MemoryBudget;
use hawthornquay_instances::{
    Forward, ForwardEvent, ForwardHead, ForwardRefused, ForwardStream, Header, LinkError,
    PeerAddress, PromptPart,
};
use hawthornquay_traffic::ListedInstance;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::time::timeout;

use crate::{
    AdmittedRequest, AttemptCause, AttemptFailure, BufferedResponse, ControlPlane, Gateway,
    HeaderMapping,
    gateway::now,
    response_memory::{MAX_RESPONSE_BYTES, ResponseMemory},
    server_attempt::AttemptHead,
    silence_limit::SilenceLimit,
};

/// Longest time to enqueue a request on a link, which may have to be opened first: two round trips
/// between regions and a margin for lost packets.
const ENQUEUE_TIMEOUT: Duration = Duration::from_millis(700);

/// Attempt that an instance of another region makes for this one.
///
/// Dropping it cancels the request at that instance.
pub(crate) struct PeerAttempt {
    /// Instance to which the request is forwarded.
    pub(crate) peer: InstanceName,
    stream: ForwardStream,
}

impl PeerAttempt {
    /// Forwards a request and waits for the response head within `limit`.
    pub(crate) async fn open<C: ControlPlane, H: HeaderMapping>(
        gateway: &Arc<Gateway<C, H>>,
        request: &AdmittedRequest,
        region: &RegionName,
        receiver: &ListedInstance,
        last_event: Option<u64>,
        limit: &SilenceLimit<'_>,
    ) -> Result<(AttemptHead, Self), AttemptFailure> {
        let address = PeerAddress {
            name: receiver.id.name.clone(),
            address: receiver.peer_address,
            incarnation: Some(receiver.id.incarnation),
        };
        gateway.region_board.lock().record_forwarded(
            region,
            &request.service,
            request.work.prompt_tokens,
        );
        let req = wire_request(request, last_event);
        let stream = gateway.links.forward(&address, req, ENQUEUE_TIMEOUT).await;
        let opened = match stream {
            Ok(stream) => {
                let mut attempt = Self {
                    peer: receiver.id.name.clone(),
                    stream,
                };
                match attempt.read_head(limit, &gateway.memory).await {
                    Ok(head) => Ok((head, attempt)),
                    Err(failure) => Err(failure),
                }
            }
            Err(error) => Err(link_failure(&error)),
        };
        if let Err(AttemptFailure {
            cause:
                AttemptCause::Peer {
                    code: RefusalCode::PeerUnreachable,
                    ..
                },
            ..
        }) = &opened
        {
            gateway
                .instances
                .lock()
                .mark_unreachable(now(), &receiver.id.name);
        }
        opened
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
        match timeout(max_wait, self.stream.next()).await {
            Ok(None | Some(Ok(ForwardEvent::End(_)))) => None,
            Ok(Some(Ok(ForwardEvent::Data(data)))) => Some(Ok(data)),
            Ok(Some(Ok(ForwardEvent::Refused(_) | ForwardEvent::Head(_)))) => {
                Some(Err(AttemptFailure::unknown(AttemptCause::Broken)))
            }
            Ok(Some(Err(error))) => Some(Err(link_failure(&error))),
            Err(_) => Some(Err(AttemptFailure::unknown(AttemptCause::Silent))),
        }
    }

    async fn read_head(
        &mut self,
        limit: &SilenceLimit<'_>,
        memory: &MemoryBudget,
    ) -> Result<AttemptHead, AttemptFailure> {
        let event = match limit.wait(self.stream.next()).await {
            Some(Some(Ok(event))) => event,
            Some(Some(Err(error))) => return Err(link_failure(&error)),
            Some(None) => return Err(AttemptFailure::unknown(AttemptCause::Broken)),
            None => return Err(AttemptFailure::unknown(AttemptCause::Silent)),
        };
        match event {
            ForwardEvent::Head(head) => {
                self.read_response_head(head, limit.max_silence, memory)
                    .await
            }
            ForwardEvent::Refused(refused) => Err(refused_failure(&refused)),
            ForwardEvent::Data(_) | ForwardEvent::End(_) => {
                Err(AttemptFailure::unknown(AttemptCause::Broken))
            }
        }
    }

    async fn read_response_head(
        &mut self,
        head: ForwardHead,
        max_wait: Duration,
        memory: &MemoryBudget,
    ) -> Result<AttemptHead, AttemptFailure> {
        let status = u16::try_from(head.status)
            .ok()
            .and_then(|status| StatusCode::from_u16(status).ok())
            .filter(|status| is_final_status(*status));
        let Some(status) = status else {
            return Err(AttemptFailure::unknown(AttemptCause::Garbled));
        };
        let headers = read_headers(&head.headers);
        if status.is_success() {
            return Ok(AttemptHead { status, headers });
        }
        let mut memory = ResponseMemory::new(self.peer.as_str(), memory);
        let mut body = BytesMut::new();
        while let Some(part) = self.next_chunk(max_wait).await {
            let part = part?;
            let len = body.len() + part.len();
            if len > MAX_RESPONSE_BYTES || !memory.try_hold(len) {
                return Err(AttemptFailure::unknown(AttemptCause::Broken));
            }
            body.extend_from_slice(&part);
        }
        let response = BufferedResponse {
            status,
            headers,
            body: memory.hold_with(body),
        };
        Err(AttemptFailure {
            cause: AttemptCause::Error(Box::new(response)),
            execution: Execution::Ran,
            reached_server: true,
        })
    }
}

fn wire_request(request: &AdmittedRequest, last_event: Option<u64>) -> Forward {
    let now = now();
    Forward {
        request_id: request.id.to_string(),
        organisation: request
            .organisation
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        method: request.method.to_string(),
        path: request.path.clone(),
        hop_count: 1,
        bundle_version: request.configuration.version,
        deadline_ms: u64::try_from(request.time_left(now).as_millis()).unwrap_or(u64::MAX),
        repeatable: request.route.semantics.is_repeatable(),
        service: request.service.to_string(),
        prompt_tokens: request.work.prompt_tokens,
        cost: request.work.output_tokens,
        body: request.body.clone(),
        route: request.route.name.clone(),
        headers: wire_headers(&request.headers),
        prompt_parts: request
            .work
            .parts
            .iter()
            .map(|part| PromptPart {
                id: part.id,
                tokens: part.tokens,
            })
            .collect(),
        // Events are numbered from one; zero means that the caller has received none.
        last_event: last_event.unwrap_or(0),
        // The receiver makes a single attempt, so that the sender counts all attempts.
        attempts_left: 1,
        ..Forward::default()
    }
}

/// Encodes headers for another instance.
pub(crate) fn wire_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers from another instance; those that are not valid in HTTP are left out.
pub(crate) fn read_headers(headers: &[Header]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(&header.value).ok()?))
        })
        .collect()
}

fn link_failure(error: &LinkError) -> AttemptFailure {
    if !error.concerns_peer() {
        return AttemptFailure {
            cause: AttemptCause::Unsendable(error.to_string()),
            execution: error.execution(),
            reached_server: false,
        };
    }
    AttemptFailure {
        cause: AttemptCause::Peer {
            code: RefusalCode::PeerUnreachable,
            message: String::new(),
            retry_after: None,
        },
        execution: error.execution(),
        reached_server: false,
    }
}

fn refused_failure(refused: &ForwardRefused) -> AttemptFailure {
    let after = refused.retry_after_ms;
    AttemptFailure {
        cause: AttemptCause::Peer {
            code: RefusalCode::parse(&refused.code).unwrap_or(RefusalCode::BackendFailed),
            message: refused.message.clone(),
            retry_after: (after > 0).then(|| Duration::from_millis(after)),
        },
        execution: refused.confirmed_execution(),
        reached_server: false,
    }
}
