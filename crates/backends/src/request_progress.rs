//! Progress of a request that is being written to a connection.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Whether the request of a connection has been written, and whether the connection ended before.
///
/// A response without a length or chunks ends with its connection. hyper reports the end of such a
/// response as complete even if part of the request is unsent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestProgress(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// Whether hyper has taken the body, so that the next complete flush writes its end.
    is_taken: AtomicBool,
    /// Whether the socket has accepted the whole request.
    is_written: AtomicBool,
    is_interrupted: AtomicBool,
}

impl RequestProgress {
    /// Begins a request, and returns its body such that the progress is recorded.
    pub(crate) fn begin(&self, body: Full<Bytes>) -> RequestBody {
        let has_body = !body.is_end_stream();
        self.0.is_taken.store(!has_body, Ordering::Relaxed);
        // The head is written in one piece, so a request without a body has no unsent rest.
        self.0.is_written.store(!has_body, Ordering::Relaxed);
        RequestBody {
            body,
            progress: self.clone(),
        }
    }

    /// Records that all buffered bytes have been written.
    pub(crate) fn record_flush(&self) {
        if self.0.is_taken.load(Ordering::Relaxed) {
            self.0.is_written.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the server has closed its side of the connection, after it has received all bytes
    /// that were written or not.
    pub(crate) fn record_end(&self, has_sent_all: bool) {
        if !has_sent_all || !self.0.is_written.load(Ordering::Relaxed) {
            self.record_error();
        }
    }

    /// Records that the connection has failed. A reset is reported only once, to a read or to a
    /// write; after it, a read returns the end of the data.
    pub(crate) fn record_error(&self) {
        self.0.is_interrupted.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection failed, or ended before the request was written.
    pub(crate) fn is_interrupted(&self) -> bool {
        self.0.is_interrupted.load(Ordering::Relaxed)
    }
}

/// Body of a request that records when hyper takes it.
#[derive(Debug)]
pub(crate) struct RequestBody {
    body: Full<Bytes>,
    progress: RequestProgress,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        // The body consists of one frame.
        self.progress.0.is_taken.store(true, Ordering::Relaxed);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
