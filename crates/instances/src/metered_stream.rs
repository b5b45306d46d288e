//! Socket that counts bytes and records the time of the last received byte.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

use crate::LinkCounters;

/// Time at which the last byte was received.
///
/// It is updated by bytes, not by complete frames, so that a large frame on a slow path does not
/// exceed the receive time-out.
#[derive(Clone)]
pub(crate) struct LastReceived {
    start: Instant,
    micros: Arc<AtomicU64>,
}

impl LastReceived {
    pub(crate) fn at(&self) -> Instant {
        self.start + std::time::Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }

    fn record_now(&self) {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.micros.store(micros, Ordering::Relaxed);
    }
}

/// TCP stream that updates [`LinkCounters`] and [`LastReceived`].
pub(crate) struct MeteredStream {
    inner: TcpStream,
    counters: Arc<LinkCounters>,
    last_received: LastReceived,
}

impl MeteredStream {
    pub(crate) fn new(inner: TcpStream, counters: Arc<LinkCounters>) -> Self {
        Self {
            inner,
            counters,
            last_received: LastReceived {
                start: Instant::now(),
                micros: Arc::default(),
            },
        }
    }

    pub(crate) fn last_received(&self) -> LastReceived {
        self.last_received.clone()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read > 0 {
            self.last_received.record_now();
            self.counters
                .socket_in
                .fetch_add(read as u64, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.counters
            .socket_out
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
