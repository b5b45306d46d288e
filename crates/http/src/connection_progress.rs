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

use crate::Body;

/// First bytes of the preface of HTTP/2, which no method of HTTP/1.1 begins with.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

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
    pub(crate) const fn end_request_body(&mut self) {
        self.bytes_read_at_end = self.bytes_read;
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
        is_client_closed: false,
        is_http2: false,
        unread_bytes: 0,
    }))
}

/// Stream of a connection that records what it reads and writes.
pub(crate) struct ObservedStream {
    stream: TcpStream,
    progress: SharedProgress,
}

impl ObservedStream {
    pub(crate) const fn new(stream: TcpStream, progress: SharedProgress) -> Self {
        Self { stream, progress }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(len)) if *len > 0) {
            self.progress.lock().last_transfer = Instant::now();
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
                progress.last_transfer = Instant::now();
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
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body of a response that records its complete end.
pub(crate) struct ObservedBody {
    body: Body,
    /// Whether the response has no more data, or the request's method allows none.
    is_complete: bool,
    progress: SharedProgress,
    /// Counts the request as in progress.
    _request: TaskTrackerToken,
}

impl ObservedBody {
    /// Observes `body`; `is_bodiless` says that the request's method allows no body.
    pub(crate) const fn new(
        body: Body,
        is_bodiless: bool,
        progress: SharedProgress,
        request: TaskTrackerToken,
    ) -> Self {
        Self {
            body,
            is_complete: is_bodiless,
            progress,
            _request: request,
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
            let mut progress = self.progress.lock();
            progress.responses += 1;
            progress.bytes_read_at_end = progress.bytes_read;
        }
    }
}
