//! Stream of a connection that limits the bytes from which no data results.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{connection::MAX_READ_BUFFER_BYTES, request_progress::RequestProgress};

/// Maximum number of received bytes without a response head or a piece of its body: a full buffer
/// and the framing of the next piece. A server may otherwise send, for example, a chunk size of
/// endless zeros, which occupies the processor.
const MAX_BYTES_WITHOUT_DATA: usize = MAX_READ_BUFFER_BYTES + (16 << 10);

/// Maximum number of bytes of one read. hyper may offer a buffer of more than
/// [`MAX_READ_BUFFER_BYTES`], and may read the next piece of a body before the receipt of the
/// previous one is recorded, so two reads and the framing have to stay below
/// [`MAX_BYTES_WITHOUT_DATA`].
const MAX_READ_BYTES: usize = 16 << 10;

/// Number of bytes received since the last response head or piece of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicUsize>);

impl ReceivedBytes {
    /// Records that data has resulted from the bytes received so far.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// TCP stream that fails when too many bytes arrive without data, and records the progress of the
/// request that is written to it.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    received: ReceivedBytes,
    request: RequestProgress,
}

impl BoundedStream {
    pub(crate) const fn new(
        stream: TcpStream,
        received: ReceivedBytes,
        request: RequestProgress,
    ) -> Self {
        Self {
            stream,
            received,
            request,
        }
    }

    /// Records whether a write has failed, and returns its outcome.
    fn check_write<T>(&self, outcome: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(_)) = &outcome {
            self.request.record_error();
        }
        outcome
    }
}

/// Returns whether the server's side of a connection has received all bytes that were written.
///
/// The socket accepts megabytes that a server which does not read never receives. It counts as
/// writable only if less than the given number of bytes is unsent, and if the unacknowledged ones
/// leave space.
fn has_sent_all(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(stream, PollFlags::OUT)];
    SockRef::from(stream).set_tcp_notsent_lowat(1).is_ok()
        && poll(&mut events, Some(&Timespec::default())).is_ok()
        && events[0].revents() == PollFlags::OUT
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
        let outcome = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled().len();
        buf.advance(read);
        let received = self.received.0.fetch_add(read, Ordering::Relaxed) + read;
        if received > MAX_BYTES_WITHOUT_DATA {
            self.request.record_error();
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes received without data",
            )));
        }
        match &outcome {
            Poll::Ready(Ok(())) if read == 0 && len > 0 => {
                self.request.record_end(has_sent_all(&self.stream));
            }
            Poll::Ready(Err(_)) => self.request.record_error(),
            Poll::Ready(Ok(())) | Poll::Pending => {}
        }
        outcome
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(outcome)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = outcome {
            self.request.record_flush();
        }
        self.check_write(outcome)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(outcome)
    }
}
