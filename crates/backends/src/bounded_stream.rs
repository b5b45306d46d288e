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

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::connection::MAX_READ_BUFFER_BYTES;

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

/// TCP stream that fails when too many bytes arrive without data.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl BoundedStream {
    pub(crate) const fn new(stream: TcpStream, received: ReceivedBytes) -> Self {
        Self { stream, received }
    }
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
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes received without data",
            )));
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
