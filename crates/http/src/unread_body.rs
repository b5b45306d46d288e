//! Request body whose unread rest is discarded.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{runtime::Handle, time::timeout};

use crate::connection_progress::SharedProgress;

/// Maximum time for which the unread rest of a body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Body of a request to the server.
///
/// If it is dropped before its end, for example because the request is refused, the rest is read and
/// discarded in the background, within bounds. If the server closed the connection while the client
/// is still writing, TCP would reset the connection and the client might never receive the response.
pub(crate) struct UnreadBody {
    /// Body; `None` once it has ended.
    body: Option<Incoming>,
    /// Whether the rest is read if the body is dropped.
    discards: bool,
    /// Declared length.
    declared: usize,
    /// Whether the handler waits for more of the body.
    is_awaited: bool,
    progress: SharedProgress,
}

impl UnreadBody {
    pub(crate) fn new(body: Incoming, discards: bool, progress: SharedProgress) -> Self {
        Self {
            declared: usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX),
            body: Some(body),
            discards,
            is_awaited: false,
            progress,
        }
    }

    fn set_awaited(&mut self, is_awaited: bool) {
        if self.is_awaited != is_awaited {
            self.is_awaited = is_awaited;
            self.progress
                .lock()
                .set_body_awaited(is_awaited, self.declared);
        }
    }
}

impl Body for UnreadBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(body).poll_frame(cx);
        if let Poll::Ready(None | Some(Err(_))) = polled {
            self.body = None;
            self.progress.lock().end_request_body();
        }
        self.set_awaited(polled.is_pending());
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        self.set_awaited(false);
        let Some(body) = self.body.take() else {
            return;
        };
        if body.is_end_stream() {
            return self.progress.lock().end_request_body();
        }
        // Without a runtime, the connection is closing, too.
        if let (true, Ok(runtime)) = (self.discards, Handle::try_current()) {
            let progress = Arc::clone(&self.progress);
            runtime.spawn(async move {
                if let Ok(true) = timeout(DISCARD_TIMEOUT, discard(body)).await {
                    progress.lock().end_request_body();
                }
            });
        }
    }
}

/// Reads the rest of `body`; returns whether it ended.
async fn discard(mut body: Incoming) -> bool {
    let mut left = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        if len > left {
            return false;
        }
        left -= len;
    }
    body.is_end_stream()
}
