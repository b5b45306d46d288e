//! Sending end of the event channel of a response.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::mpsc::UnboundedSender;

use crate::{Body, ForwardEvent, STREAM_WINDOW_BYTES};

/// Passes the messages of a response from the reader of the link to its
/// [`ForwardStream`](crate::ForwardStream).
///
/// The channel is unbounded, so the reader never waits; the flow-control window limits the buffered
/// bytes.
pub(crate) struct StreamSender {
    pub(crate) events: UnboundedSender<ForwardEvent>,
    pub(crate) buffered: Arc<AtomicUsize>,
}

impl StreamSender {
    /// Buffers a message; returns whether the response continues.
    ///
    /// Returns false after the last message, for a message of another type or above the window, and
    /// if the stream has been dropped.
    pub(crate) fn push(&self, body: Body) -> bool {
        let event = match body {
            Body::ForwardHead(head) => ForwardEvent::Head(head),
            Body::ForwardData(chunk) => ForwardEvent::Data(chunk.data),
            Body::ForwardEnd(end) => ForwardEvent::End(end),
            Body::ForwardRefused(refused) => ForwardEvent::Refused(refused),
            _ => return false,
        };
        let len = event.buffered_len();
        if self.buffered.fetch_add(len, Ordering::AcqRel) + len > STREAM_WINDOW_BYTES {
            return false;
        }
        let last = event.is_last();
        self.events.send(event).is_ok() && !last
    }
}
