//! Progress of a connection: bytes, requests and responses.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};
use parking_lot::Mutex;
use rustix::io::ioctl_fionread;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::{Body, EndReason, MemoryCharge};

/// First bytes of the preface of HTTP/2, which no method of HTTP/1.1 begins with.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

/// Bytes for a connection without a request: its buffers and its task. 1,285 idle connections took up
/// 35 KiB each (release build).
pub(crate) const CONNECTION_BYTES: usize = 36 << 10;

/// Size of a read buffer that [`CONNECTION_BYTES`] covers. hyper reserves 16 KiB for the first
/// request, of which a usual head touches little.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Bytes that count as progress. A client that sends or reads a byte now and then makes none.
const PROGRESS_BYTES: usize = 1 << 10;

/// Unwritten bytes of responses from which on the client is known not to read them. Over HTTP/2, a
/// window that is full stops the server although the socket accepts data.
const UNREAD_BYTES: usize = 16 << 10;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The next request.
    Nothing,
    /// The rest of a request.
    Request,
    /// The client, which has to read a response.
    Reading,
    /// The server, which has to respond.
    Server,
}

/// Progress of one connection.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) accepted: Instant,
    /// Time at which a byte was last read or written.
    pub(crate) last_transfer: Instant,
    pub(crate) bytes_read: u64,
    /// `bytes_read` when the last complete response or the body of a request ended.
    pub(crate) bytes_read_at_end: u64,
    /// Requests whose head was read.
    pub(crate) requests: u64,
    /// Complete responses.
    pub(crate) responses: u64,
    /// Time at which the connection last made progress: [`PROGRESS_BYTES`] were transferred, or a
    /// request or response began or ended.
    pub(crate) last_progress: Instant,
    /// Bytes transferred since.
    bytes_since_progress: usize,
    /// Bytes of responses that were handed to the connection, and bytes that it wrote, since it last
    /// had nothing to write.
    response_bytes: usize,
    written_bytes: usize,
    /// Complete responses when the connection last had nothing to write.
    responses_written: u64,
    /// Whether the socket accepts no more data.
    is_write_blocked: bool,
    /// Requests that a handler runs, or whose response has not ended.
    running_requests: usize,
    /// Running requests whose handler waits for more of the body.
    awaited_bodies: usize,
    /// Declared lengths of these bodies, which may be reserved.
    declared_bytes: usize,
    /// Reason for which the server ends the connection.
    pub(crate) ended_for: Option<EndReason>,
    /// Whether the client closed its side.
    pub(crate) is_client_closed: bool,
    /// Whether the connection began with the preface of HTTP/2.
    pub(crate) is_http2: bool,
    /// Bytes that had arrived and had not been read when the server closed the socket.
    pub(crate) unread_bytes: u64,
}

impl Progress {
    /// Returns the number of bytes read since the last response or body of a request ended.
    pub(crate) const fn unanswered_bytes(&self) -> u64 {
        self.bytes_read - self.bytes_read_at_end
    }

    /// Returns whether a request whose head was read has no complete response.
    pub(crate) const fn is_request_open(&self) -> bool {
        self.requests > self.responses
    }

    /// Records that the body of a request ended.
    pub(crate) fn end_request_body(&mut self) {
        self.bytes_read_at_end = self.bytes_read;
        self.restart_stall();
    }

    /// Records whether a handler waits for more of a body of `declared` bytes.
    pub(crate) const fn set_body_awaited(&mut self, is_awaited: bool, declared: usize) {
        if is_awaited {
            self.awaited_bodies += 1;
            self.declared_bytes = self.declared_bytes.saturating_add(declared);
        } else {
            self.awaited_bodies -= 1;
            self.declared_bytes = self.declared_bytes.saturating_sub(declared);
        }
    }

    /// Returns whether most of the running requests wait for their bodies. Over HTTP/2, a few that
    /// do don't make the others their client's fault.
    const fn awaits_bodies(&self) -> bool {
        self.awaited_bodies > 0 && 2 * self.awaited_bodies >= self.running_requests
    }

    /// Records that the head of a request was read.
    fn begin_request(&mut self) {
        self.requests += 1;
        self.running_requests += 1;
        self.restart_stall();
    }

    /// Returns what the connection waits for.
    pub(crate) const fn awaited(&self) -> Awaited {
        if self.is_write_blocked || self.unwritten_bytes() >= UNREAD_BYTES {
            Awaited::Reading
        } else if self.running_requests > 0 && !self.awaits_bodies() {
            Awaited::Server
        } else if self.running_requests > 0 || self.unanswered_bytes() > 0 {
            Awaited::Request
        } else {
            Awaited::Nothing
        }
    }

    /// Returns about how many bytes the connection holds: its buffers, the request that it is
    /// receiving, with its declared length, and the responses that it has not written.
    pub(crate) fn held_bytes(&self) -> usize {
        let received = usize::try_from(self.unanswered_bytes()).unwrap_or(usize::MAX);
        CONNECTION_BYTES
            .saturating_add(received.max(self.declared_bytes))
            .saturating_add(self.unwritten_bytes())
    }

    /// Returns the number of complete responses that have not been written.
    pub(crate) const fn unread_responses(&self) -> u64 {
        self.responses - self.responses_written
    }

    fn record_flush(&mut self) {
        self.responses_written = self.responses;
        self.is_write_blocked = false;
        // Over HTTP/2, data that waits for a window is still held.
        if !self.is_http2 || self.running_requests == 0 {
            (self.response_bytes, self.written_bytes) = (0, 0);
        }
    }

    const fn unwritten_bytes(&self) -> usize {
        self.response_bytes.saturating_sub(self.written_bytes)
    }

    fn restart_stall(&mut self) {
        self.last_progress = Instant::now();
        self.bytes_since_progress = 0;
    }

    fn record_transfer(&mut self, len: usize) {
        self.last_transfer = Instant::now();
        self.bytes_since_progress += len;
        if self.bytes_since_progress >= PROGRESS_BYTES {
            self.last_progress = self.last_transfer;
            self.bytes_since_progress = 0;
        }
    }

    /// Returns whether no request has begun and no byte was transferred for `duration`.
    pub(crate) fn is_idle_for(&self, duration: Duration) -> bool {
        !self.is_request_open()
            && self.unanswered_bytes() == 0
            && self.last_transfer.elapsed() >= duration
    }
}

/// Progress that the stream and the responses of a connection share.
pub(crate) type SharedProgress = Arc<Mutex<Progress>>;

pub(crate) fn shared_progress() -> SharedProgress {
    let now = Instant::now();
    Arc::new(Mutex::new(Progress {
        accepted: now,
        last_transfer: now,
        bytes_read: 0,
        bytes_read_at_end: 0,
        requests: 0,
        responses: 0,
        last_progress: now,
        bytes_since_progress: 0,
        response_bytes: 0,
        written_bytes: 0,
        responses_written: 0,
        is_write_blocked: false,
        running_requests: 0,
        awaited_bodies: 0,
        declared_bytes: 0,
        ended_for: None,
        is_client_closed: false,
        is_http2: false,
        unread_bytes: 0,
    }))
}

/// Stream of a connection that records what it reads and writes.
pub(crate) struct ObservedStream {
    stream: TcpStream,
    progress: SharedProgress,
    /// Charge for the connection and its buffers.
    charge: MemoryCharge,
}

impl ObservedStream {
    /// Observes `stream`, for which `charge` has been charged.
    pub(crate) const fn new(
        stream: TcpStream,
        progress: SharedProgress,
        charge: MemoryCharge,
    ) -> Self {
        Self {
            stream,
            progress,
            charge,
        }
    }

    /// Charges a read buffer of `capacity` bytes.
    fn charge_buffer(&mut self, capacity: usize) -> io::Result<()> {
        let bytes = CONNECTION_BYTES + capacity.saturating_sub(READ_BUFFER_BYTES);
        if bytes > self.charge.bytes() && !self.charge.try_resize(bytes) {
            self.progress.lock().ended_for = Some(EndReason::Pressure);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let mut progress = self.progress.lock();
        progress.is_write_blocked = written.is_pending();
        if let Poll::Ready(Ok(len)) = written {
            progress.written_bytes += len;
            progress.record_transfer(*len);
        }
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        // Runs before the socket is closed.
        let unread_bytes = ioctl_fionread(&self.stream).unwrap_or(0);
        self.progress.lock().unread_bytes = unread_bytes;
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.charge_buffer(buf.remaining())?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = polled {
            let len = buf.filled().len() - before;
            let mut progress = self.progress.lock();
            if len > 0 {
                if progress.bytes_read == 0 {
                    progress.is_http2 = buf.filled()[before..].starts_with(HTTP2_PREFACE_START);
                }
                progress.bytes_read += len as u64;
                progress.record_transfer(len);
            } else if buf.remaining() > 0 {
                progress.is_client_closed = true;
            }
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream when it has written all that it holds.
        self.progress.lock().record_flush();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Request from its head to the end of its response.
pub(crate) struct RunningRequest {
    progress: SharedProgress,
    /// Counts the request as in progress.
    _in_progress: TaskTrackerToken,
    /// Charge for the head of the request.
    _head: Option<MemoryCharge>,
}

impl RunningRequest {
    /// Records that the head of a request was read, for which `head` has been charged.
    pub(crate) fn begin(
        progress: SharedProgress,
        in_progress: TaskTrackerToken,
        head: Option<MemoryCharge>,
    ) -> Self {
        progress.lock().begin_request();
        Self {
            progress,
            _in_progress: in_progress,
            _head: head,
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.progress.lock().running_requests -= 1;
    }
}

/// Body of a response that records its complete end.
pub(crate) struct ObservedBody {
    body: Body,
    /// Whether the response has no more data, or the request's method allows none.
    is_complete: bool,
    request: RunningRequest,
}

impl ObservedBody {
    /// Observes `body`; `is_bodiless` says that the request's method allows no body.
    pub(crate) const fn new(body: Body, is_bodiless: bool, request: RunningRequest) -> Self {
        Self {
            body,
            is_complete: is_bodiless,
            request,
        }
    }
}

impl hyper::body::Body for ObservedBody {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.is_complete |= matches!(polled, Poll::Ready(None));
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let len = frame.data_ref().map_or(0, Bytes::len);
            self.request.progress.lock().response_bytes += len;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        if self.is_complete || self.body.is_end_stream() {
            let mut progress = self.request.progress.lock();
            progress.responses += 1;
            progress.bytes_read_at_end = progress.bytes_read;
            progress.restart_stall();
        }
    }
}
