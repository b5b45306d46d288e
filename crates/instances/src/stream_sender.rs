//! Receiving end of a forwarded answer, on the side of the link.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::mpsc::UnboundedSender;

use crate::{Body, ForwardEvent, STREAM_WINDOW_BYTES};

/// Buffer of one stream; the window bounds it, so the reader of the link never waits.
pub(crate) struct StreamSender {
    pub(crate) events: UnboundedSender<ForwardEvent>,
    pub(crate) buffered: Arc<AtomicUsize>,
}

impl StreamSender {
    /// Buffers a message; returns whether more may follow.
    pub(crate) fn push(&self, body: Body) -> bool {
        let event = match body {
            Body::ForwardHead(head) => ForwardEvent::Head(head),
            Body::ForwardData(piece) => ForwardEvent::Data(piece.data),
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
