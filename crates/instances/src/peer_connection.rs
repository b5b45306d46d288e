//! Incoming link, opened by another instance.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hawthornquay_decisions::{Execution, InstanceId, Map};
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::{
    sync::CancellationToken,
    task::{TaskTracker, task_tracker::TaskTrackerToken},
};

use crate::{
    Body, Envelope, Forward, ForwardBody, ForwardRefused, ForwardSink, LinkCounters, LinkDrained,
    LinkError, LocalInstance, MAX_CALLS_PER_LINK, Notice, PeerService, Pong, STREAM_WINDOW_BYTES,
    drain_state::DrainState,
    envelope_io::{EnvelopeReader, EnvelopeWriter, receive_hello, send_hello, split_envelopes},
    forward_sink::{StreamControl, Streams},
    link_stream::{LinkStream, check_peer_name},
    metered_stream::LastReceived,
    partial_forward::PartialForward,
    send_queue::SendQueue,
};

/// Longest wait for the peer to close a drained link whose end has been written. An instance closes
/// a link as soon as it has read the end, behind the replies that a slow path may still hold.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(5);

/// Incoming link with the calls in flight on it.
pub(crate) struct PeerConnection<S> {
    local: LocalInstance,
    service: Arc<S>,
    peer: InstanceId,
    send_queue: SendQueue,
    streams: Streams,
    /// Forwarded requests whose body is still arriving, by the sequence number of their call.
    partial: Map<u64, PartialForward>,
    calls: TaskTracker,
    permits: Arc<Semaphore>,
    drain: Arc<DrainState>,
    closed: CancellationToken,
    draining: bool,
}

impl<S: PeerService> PeerConnection<S> {
    /// Serves a socket until the link ends, or after `shutdown` until its calls have completed.
    pub(crate) async fn serve(
        socket: TcpStream,
        from: SocketAddr,
        local: LocalInstance,
        service: Arc<S>,
        shutdown: CancellationToken,
    ) {
        let handshake = timeout(local.settings.connect_timeout, accept(socket, from, &local));
        let accepted = handshake.await.unwrap_or_else(|_| {
            Err(LinkError::Accept {
                address: from,
                source: io::ErrorKind::TimedOut.into(),
            })
        });
        let (peer, reader, writer, last_received) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => return service.handle_refused_link(&error),
        };
        LinkCounters::increment(&local.counters.opened);
        let (send_queue, queue_receiver) = SendQueue::new();
        let closed = CancellationToken::new();
        let drain = Arc::<DrainState>::default();
        let last_message = {
            let drain = drain.clone();
            move || {
                let body = Body::LinkDrained(LinkDrained {});
                drain.is_complete().then(|| Envelope::one_way(body))
            }
        };
        let writing = tokio::spawn(queue_receiver.write_to(writer, closed.clone(), last_message));
        let receive_timeout = local.settings.receive_timeout;
        let connection = Self {
            local,
            service,
            peer,
            send_queue,
            streams: Streams::default(),
            partial: Map::default(),
            calls: TaskTracker::new(),
            permits: Arc::new(Semaphore::new(MAX_CALLS_PER_LINK)),
            drain,
            closed: closed.clone(),
            draining: false,
        };
        if let Some(reader) = connection
            .read(reader, last_received.clone(), shutdown)
            .await
        {
            // All senders have been dropped, so the writer ends after the last reply.
            deliver_replies(reader, last_received, writing, receive_timeout).await;
        }
        closed.cancel();
    }

    /// Reads messages until the link ends; returns the reader if it ended by draining.
    async fn read(
        mut self,
        mut reader: EnvelopeReader<LinkStream>,
        last_received: LastReceived,
        shutdown: CancellationToken,
    ) -> Option<EnvelopeReader<LinkStream>> {
        let receive_timeout = self.local.settings.receive_timeout;
        let calls = self.calls.clone();
        let closed = self.closed.clone();
        loop {
            let expires_at = last_received.at() + receive_timeout;
            tokio::select! {
                // The branches are polled in order. The shutdown comes before reading, so that no
                // forwarded request is accepted after it. The receive time-out comes last, so that
                // a process that was paused first reads the data that has arrived.
                biased;
                () = closed.cancelled() => return None,
                () = shutdown.cancelled(), if !self.draining => {
                    self.draining = true;
                    calls.close();
                }
                () = calls.wait(), if self.draining => {
                    self.drain.record_drained();
                    return Some(reader);
                }
                received = reader.next() => match received {
                    Ok(Some((envelope, body))) => self.receive(&envelope, body),
                    Ok(None) | Err(_) => closed.cancel(),
                },
                () = sleep_until(expires_at) => {
                    if last_received.at() + receive_timeout <= Instant::now() {
                        LinkCounters::increment(&self.local.counters.timed_out);
                        closed.cancel();
                    }
                }
            }
        }
    }

    fn receive(&mut self, envelope: &Envelope, body: Body) {
        match body {
            Body::Ping(_) => self
                .send_queue
                .try_send(Envelope::one_way(Body::Pong(Pong {}))),
            Body::Digest(digest) => self.run_notice_handler(Notice::Digest(digest)),
            Body::BundleDelta(delta) => self.run_notice_handler(Notice::BundleDelta(delta)),
            Body::Status(status) => self.run_notice_handler(Notice::Status(status)),
            Body::ViewRequest(request) => self.run_notice_handler(Notice::ViewRequest(request)),
            Body::ViewUpdate(update) => self.run_notice_handler(Notice::ViewUpdate(update)),
            // The process that made a call of an earlier incarnation no longer exists.
            _ if envelope.incarnation != self.peer.incarnation.0 => self.drop_message(),
            Body::ForwardCancel(_) => {
                self.partial.remove(&envelope.sequence);
                self.cancel(envelope.sequence);
            }
            Body::ForwardCredit(credit) => self.add_credit(envelope.sequence, credit.bytes),
            Body::Forward(request) => self.receive_forward(envelope.sequence, request),
            Body::ForwardBody(part) => self.receive_body(envelope.sequence, &part),
            Body::BundleFetch(_)
            | Body::LoanRequest(_)
            | Body::CapacityRequest(_)
            | Body::PermitRequest(_) => {
                self.run_call(envelope.sequence, body);
            }
            _ => self.drop_message(),
        }
    }

    fn drop_message(&self) {
        LinkCounters::increment(&self.local.counters.dropped);
    }

    fn permit(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    fn run_notice_handler(&self, notice: Notice) {
        let Some(permit) = self.permit() else {
            return self.drop_message();
        };
        let (service, peer) = (self.service.clone(), self.peer.clone());
        self.calls.spawn(async move {
            service.handle_notice(&peer, notice).await;
            drop(permit);
        });
    }

    fn run_call(&self, sequence: u64, body: Body) {
        let Some(permit) = self.permit() else {
            return self.drop_message();
        };
        let (service, peer) = (self.service.clone(), self.peer.clone());
        let send_queue = self.send_queue.clone();
        self.calls.spawn(async move {
            let reply = match body {
                Body::BundleFetch(request) => {
                    Body::BundleContent(service.fetch_bundle(&peer, request).await)
                }
                Body::LoanRequest(request) => Body::LoanGrant(service.lend(&peer, request).await),
                Body::CapacityRequest(request) => {
                    Body::CapacityGrant(service.grant_capacity(&peer, request).await)
                }
                Body::PermitRequest(request) => {
                    Body::PermitGrant(service.grant_permit(&peer, request).await)
                }
                _ => return,
            };
            let envelope = Envelope::of_call(peer.incarnation.0, sequence, reply);
            send_queue.send(envelope, None).await;
            drop(permit);
        });
    }

    fn receive_forward(&mut self, sequence: u64, request: Forward) {
        if self.draining {
            return self.refuse(sequence, "instance-leaving", "the instance is leaving");
        }
        let Some(permit) = self.permit() else {
            return self.refuse(
                sequence,
                "link-busy",
                "too many concurrent calls on one link",
            );
        };
        let token = self.calls.token();
        if request.body_bytes == 0 {
            return self.forward(sequence, request, (vec![permit], token));
        }
        let memory = &self.local.body_memory;
        let Some(partial) = PartialForward::new(request, memory, permit, token) else {
            return self.refuse(
                sequence,
                "link-busy",
                "too many bytes of request bodies are held for other instances",
            );
        };
        self.partial.insert(sequence, partial);
    }

    /// Adds a part of a body, and runs the request once its body is complete.
    fn receive_body(&mut self, sequence: u64, part: &ForwardBody) {
        let Some(mut partial) = self.partial.remove(&sequence) else {
            return self.drop_message();
        };
        if !partial.push(part) {
            return self.refuse(
                sequence,
                "bad-request",
                "the body is longer than its declared length",
            );
        }
        if !partial.is_complete() {
            self.partial.insert(sequence, partial);
            return;
        }
        let (request, permits, token) = partial.into_request();
        self.forward(sequence, request, (permits, token));
    }

    /// Runs a request; `held` is dropped once it has ended.
    fn forward(
        &self,
        sequence: u64,
        request: Forward,
        held: (Vec<OwnedSemaphorePermit>, TaskTrackerToken),
    ) {
        let control = StreamControl {
            credit: Arc::new(Semaphore::new(STREAM_WINDOW_BYTES)),
            cancelled: self.closed.child_token(),
        };
        let sink = ForwardSink {
            send_queue: self.send_queue.clone(),
            incarnation: self.peer.incarnation.0,
            sequence,
            credit: control.credit.clone(),
            cancelled: control.cancelled.clone(),
            streams: self.streams.clone(),
            drain: self.drain.clone(),
            finished: false,
        };
        self.streams.lock().insert(sequence, control);
        let (service, peer) = (self.service.clone(), self.peer.clone());
        self.calls.spawn(async move {
            service.forward(&peer, request, sink).await;
            drop(held);
        });
    }

    fn refuse(&self, sequence: u64, code: &str, message: &str) {
        let refused = ForwardRefused::new(code, message, Execution::NotRun);
        let body = Body::ForwardRefused(refused);
        let envelope = Envelope::of_call(self.peer.incarnation.0, sequence, body);
        let send_queue = self.send_queue.clone();
        self.calls
            .spawn(async move { send_queue.send(envelope, None).await });
    }

    fn cancel(&self, sequence: u64) {
        if let Some(stream) = self.streams.lock().get(&sequence) {
            stream.cancelled.cancel();
        }
    }

    fn add_credit(&self, sequence: u64, bytes: u32) {
        let streams = self.streams.lock();
        let Some(stream) = streams.get(&sequence) else {
            return;
        };
        let room = STREAM_WINDOW_BYTES.saturating_sub(stream.credit.available_permits());
        stream.credit.add_permits(room.min(bytes as usize));
    }
}

/// Waits until the last replies of a drained link are written and the peer has closed the link.
///
/// What arrives is read and dropped: the close of a socket with unread data resets the connection,
/// which discards the replies that are still on their way. As long as the peer sends its heartbeats,
/// there is no limit for the writing, since a path may be slow.
async fn deliver_replies(
    mut reader: EnvelopeReader<LinkStream>,
    last_received: LastReceived,
    mut writing: JoinHandle<()>,
    receive_timeout: Duration,
) {
    let mut close_by = None;
    loop {
        let silent_at = last_received.at() + receive_timeout;
        let expires_at = close_by.map_or(silent_at, |close_by| silent_at.min(close_by));
        tokio::select! {
            // The branches are polled in order. The time-out comes last, so that a process that was
            // paused first reads the data that has arrived.
            biased;
            _ = &mut writing, if close_by.is_none() => {
                close_by = Some(Instant::now() + MAX_CLOSE_WAIT);
            }
            received = reader.next() => if !matches!(received, Ok(Some(_))) {
                return;
            },
            () = sleep_until(expires_at) => {
                let time = Instant::now();
                if last_received.at() + receive_timeout <= time
                    || close_by.is_some_and(|close_by| close_by <= time)
                {
                    return;
                }
            }
        }
    }
}

async fn accept(
    socket: TcpStream,
    from: SocketAddr,
    local: &LocalInstance,
) -> Result<
    (
        InstanceId,
        EnvelopeReader<LinkStream>,
        EnvelopeWriter<LinkStream>,
        LastReceived,
    ),
    LinkError,
> {
    let failed = |source| LinkError::Accept {
        address: from,
        source,
    };
    let (stream, last_received) = LinkStream::accept(local, socket).await.map_err(failed)?;
    let certificates = stream.certificates();
    let (mut reader, mut writer) = split_envelopes(stream, &local.counters);
    let peer = receive_hello(&mut reader).await.map_err(failed)?.id();
    check_peer_name(certificates.as_deref(), &peer)?;
    send_hello(&mut writer, local.hello())
        .await
        .map_err(failed)?;
    Ok((peer, reader, writer, last_received))
}
