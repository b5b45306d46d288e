//! Outgoing link, opened by this process.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use bytes::Bytes;
use hawthornquay_decisions::{InstanceId, Map};
use parking_lot::Mutex;
use prost::Message;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Body, Envelope, Forward, ForwardBody, ForwardStream, Hello, LinkCounters, LinkError,
    LocalInstance, MAX_BODY_CHUNK_BYTES, MAX_FORWARDED_BODY_BYTES, MAX_FRAME_BYTES, PeerAddress,
    Ping,
    envelope_io::{EnvelopeReader, EnvelopeWriter, receive_hello, send_hello, split_envelopes},
    link_stream::{LinkStream, check_peer_name},
    metered_stream::LastReceived,
    send_queue::SendQueue,
    stream_sender::StreamSender,
    write_state::WriteState,
};

/// Receiver of the messages of a call in flight.
enum Pending {
    Reply(oneshot::Sender<Body>),
    Stream(StreamSender),
}

/// Link to another instance with the calls in flight on it.
pub(crate) struct Link {
    pub(crate) peer: InstanceId,
    /// Longest request body that the peer accepts in several frames; zero if it accepts none.
    peer_max_body: usize,
    pub(crate) send_queue: SendQueue,
    pub(crate) closed: CancellationToken,
    /// Whether the peer has stated that it runs none of the requests without a reply.
    pub(crate) is_drained: AtomicBool,
    address: std::net::SocketAddr,
    local: LocalInstance,
    /// Calls in flight by sequence number; `None` once the link has ended, so that no call can be
    /// added after the pending ones have failed.
    pending: Mutex<Option<Map<u64, Pending>>>,
    last_used: Mutex<Instant>,
}

impl Link {
    /// Connects, verifies the identity of the peer and starts the tasks of the link.
    pub(crate) async fn open(
        local: &LocalInstance,
        peer: &PeerAddress,
        closed: CancellationToken,
    ) -> Result<Arc<Self>, LinkError> {
        let (hello, reader, writer, last_received) = connect(local, peer).await?;
        LinkCounters::increment(&local.counters.opened);
        let (send_queue, queue_receiver) = SendQueue::new();
        let link = Arc::new(Self {
            peer: hello.id(),
            peer_max_body: usize::try_from(hello.max_body_bytes).unwrap_or(usize::MAX),
            send_queue,
            closed: closed.clone(),
            is_drained: AtomicBool::new(false),
            address: peer.address,
            local: local.clone(),
            pending: Mutex::new(Some(Map::default())),
            last_used: Mutex::new(Instant::now()),
        });
        tokio::spawn(queue_receiver.write_to(writer, closed, || None));
        tokio::spawn(link.clone().run(reader, last_received));
        Ok(link)
    }

    /// Returns whether the link is open and leads to the address and identity in `peer`.
    pub(crate) fn is_usable_for(&self, peer: &PeerAddress) -> bool {
        !self.closed.is_cancelled() && self.address == peer.address && self.matches_peer(peer)
    }

    /// Returns whether the process at the other end has the identity in `peer`.
    pub(crate) fn matches_peer(&self, peer: &PeerAddress) -> bool {
        self.peer.name == peer.name
            && peer
                .incarnation
                .is_none_or(|incarnation| incarnation == self.peer.incarnation)
    }

    /// Returns the number of calls in flight.
    pub(crate) fn open_calls(&self) -> usize {
        self.pending.lock().as_ref().map_or(0, Map::len)
    }

    /// Sends a request and waits for its reply.
    pub(crate) async fn call(
        &self,
        sequence: u64,
        body: Body,
        deadline: Instant,
    ) -> Result<Body, LinkError> {
        let write_state = WriteState::default();
        let (tx, rx) = oneshot::channel();
        if !self.add_pending(sequence, Pending::Reply(tx)) {
            return Err(self.link_ended_error(&write_state));
        }
        let outcome = timeout_at(deadline, async {
            let envelope = Envelope::of_call(self.incarnation(), sequence, body);
            self.send_queue
                .send(envelope, Some(write_state.clone()))
                .await;
            rx.await
        })
        .await;
        self.remove_pending(sequence);
        match outcome {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(self.link_ended_error(&write_state)),
            Err(_) => Err(LinkError::DeadlineExceeded {
                name: self.peer.name.clone(),
                execution: write_state.cancel(),
            }),
        }
    }

    /// Sends a forwarded request and returns the stream of its response.
    ///
    /// Waits until the request is queued; a body of several frames is sent in the background.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        sequence: u64,
        mut request: Forward,
        deadline: Instant,
    ) -> Result<ForwardStream, LinkError> {
        let body = self.take_long_body(&mut request)?;
        let request = check_frame_size(Body::Forward(request))?;
        let (tx, events) = mpsc::unbounded_channel();
        let buffered = Arc::<AtomicUsize>::default();
        let sender = StreamSender {
            events: tx,
            buffered: buffered.clone(),
        };
        let stream = ForwardStream {
            link: self.clone(),
            incarnation: self.incarnation(),
            sequence,
            write_state: WriteState::default(),
            events,
            buffered,
            consumed: 0,
            has_reply: false,
            finished: false,
        };
        if !self.add_pending(sequence, Pending::Stream(sender)) {
            return Err(self.link_ended_error(&stream.write_state));
        }
        let envelope = Envelope::of_call(self.incarnation(), sequence, request);
        let queued = self
            .send_queue
            .send(envelope, Some(stream.write_state.clone()));
        match timeout_at(deadline, queued).await {
            Ok(true) => {
                if !body.is_empty() {
                    tokio::spawn(self.clone().send_body(sequence, body));
                }
                Ok(stream)
            }
            Ok(false) => Err(self.link_ended_error(&stream.write_state)),
            Err(_) => Err(LinkError::DeadlineExceeded {
                name: self.peer.name.clone(),
                execution: stream.cancel(),
            }),
        }
    }

    /// Takes a body that has to be sent in several frames out of `request`.
    ///
    /// Older versions accept a body only in the frame of its request.
    fn take_long_body(&self, request: &mut Forward) -> Result<Bytes, LinkError> {
        let len = request.body.len();
        if len <= MAX_BODY_CHUNK_BYTES || self.peer_max_body == 0 {
            return Ok(Bytes::new());
        }
        let limit = self.peer_max_body.min(MAX_FORWARDED_BODY_BYTES);
        if len > limit {
            return Err(LinkError::TooLarge { len, limit });
        }
        request.body_bytes = len as u64;
        Ok(std::mem::take(&mut request.body))
    }

    /// Sends a body in frames until the call or the link ends.
    async fn send_body(self: Arc<Self>, sequence: u64, mut body: Bytes) {
        while !body.is_empty() && self.is_pending(sequence) {
            let data = body.split_to(body.len().min(MAX_BODY_CHUNK_BYTES));
            let part = Body::ForwardBody(ForwardBody { data });
            let envelope = Envelope::of_call(self.incarnation(), sequence, part);
            let queued = self.send_queue.send(envelope, None);
            if self.closed.run_until_cancelled(queued).await != Some(true) {
                return;
            }
        }
    }

    /// Queues a one-way message.
    pub(crate) async fn send(&self, body: Body) -> Result<(), LinkError> {
        *self.last_used.lock() = Instant::now();
        if self.send_queue.send(Envelope::one_way(body), None).await {
            return Ok(());
        }
        Err(self.link_ended_error(&WriteState::default()))
    }

    fn is_pending(&self, sequence: u64) -> bool {
        let pending = self.pending.lock();
        pending
            .as_ref()
            .is_some_and(|calls| calls.contains_key(&sequence))
    }

    /// Removes a call; a later reply to it is dropped.
    pub(crate) fn remove_pending(&self, sequence: u64) {
        if let Some(pending) = self.pending.lock().as_mut() {
            pending.remove(&sequence);
        }
    }

    /// Cancels the write of a message and returns the error of its call.
    fn link_ended_error(&self, write_state: &WriteState) -> LinkError {
        LinkError::LinkEnded {
            name: self.peer.name.clone(),
            execution: write_state.cancel(),
        }
    }

    const fn incarnation(&self) -> u64 {
        self.local.id.incarnation.0
    }

    /// Adds a call; returns false if the link has ended.
    fn add_pending(&self, sequence: u64, receiver: Pending) -> bool {
        *self.last_used.lock() = Instant::now();
        let mut pending = self.pending.lock();
        let Some(pending) = pending.as_mut() else {
            return false;
        };
        pending.insert(sequence, receiver);
        true
    }

    /// Sends heartbeats and dispatches received messages until the link ends.
    async fn run(
        self: Arc<Self>,
        mut reader: EnvelopeReader<LinkStream>,
        last_received: LastReceived,
    ) {
        let settings = self.local.settings;
        let mut heartbeat = interval(settings.heartbeat_interval);
        loop {
            let expires_at = last_received.at() + settings.receive_timeout;
            tokio::select! {
                // The branches are polled in order. Heartbeats come before reading, so that a busy
                // link sends them. Reading comes before the receive time-out, so that a process
                // that was paused first reads the data that has arrived.
                biased;
                () = self.closed.cancelled() => break,
                _ = heartbeat.tick() => {
                    if self.is_idle() {
                        break;
                    }
                    self.send_queue.try_send(Envelope::one_way(Body::Ping(Ping {})));
                }
                received = reader.next() => match received {
                    Ok(Some((_, Body::LinkDrained(_)))) => {
                        self.is_drained.store(true, Ordering::Release);
                        break;
                    }
                    Ok(Some((envelope, body))) => self.receive(&envelope, body),
                    Ok(None) | Err(_) => break,
                },
                () = sleep_until(expires_at) => {
                    if last_received.at() + settings.receive_timeout <= Instant::now() {
                        LinkCounters::increment(&self.local.counters.timed_out);
                        break;
                    }
                }
            }
        }
        self.closed.cancel();
        // Dropping the reply senders fails the pending calls.
        self.pending.lock().take();
    }

    fn is_idle(&self) -> bool {
        self.pending.lock().as_ref().is_none_or(Map::is_empty)
            && self.last_used.lock().elapsed() >= self.local.settings.idle_timeout
    }

    /// Handles a received message; drops one that belongs to no call in flight.
    fn receive(&self, envelope: &Envelope, body: Body) {
        if matches!(body, Body::Pong(_)) {
            return;
        }
        if envelope.incarnation != self.incarnation() || !self.deliver(envelope.sequence, body) {
            LinkCounters::increment(&self.local.counters.dropped);
        }
    }

    /// Passes a message to its call; returns false if there is no such call.
    fn deliver(&self, sequence: u64, body: Body) -> bool {
        let mut pending = self.pending.lock();
        let Some(pending) = pending.as_mut() else {
            return false;
        };
        match pending.remove(&sequence) {
            Some(Pending::Reply(tx)) => tx.send(body).is_ok(),
            Some(Pending::Stream(sender)) => {
                if sender.push(body) {
                    pending.insert(sequence, Pending::Stream(sender));
                }
                true
            }
            None => false,
        }
    }
}

/// Connects, exchanges identities and checks the name of the peer against its certificate.
async fn connect(
    local: &LocalInstance,
    peer: &PeerAddress,
) -> Result<
    (
        Hello,
        EnvelopeReader<LinkStream>,
        EnvelopeWriter<LinkStream>,
        LastReceived,
    ),
    LinkError,
> {
    let failed = |source| LinkError::connect(peer, source);
    let (stream, last_received) = LinkStream::connect(local, peer).await.map_err(failed)?;
    let certificates = stream.certificates();
    let (mut reader, mut writer) = split_envelopes(stream, &local.counters);
    send_hello(&mut writer, local.hello())
        .await
        .map_err(failed)?;
    let found = receive_hello(&mut reader).await.map_err(failed)?;
    check_peer_name(certificates.as_deref(), &found.id())?;
    Ok((found, reader, writer, last_received))
}

/// Checks that a call with `body` fits into one frame.
pub(crate) fn check_frame_size(body: Body) -> Result<Body, LinkError> {
    let len = Envelope::of_call(u64::MAX, u64::MAX, body.clone()).encoded_len();
    if len > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge {
            len,
            limit: MAX_FRAME_BYTES,
        });
    }
    Ok(body)
}
